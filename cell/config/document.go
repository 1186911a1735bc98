// Package config defines the versioned configuration that operators publish:
// teams, keys, shares, limits and the placement policy for each kind of work.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"regexp"
	"sort"

	"pollendock.example/cell/resource"
)

type (
	// Kind is a kind of work.
	Kind string

	// Document is the content of one configuration version.
	Document struct {
		// Teams maps names to teams.
		Teams map[string]Team `json:"teams"`
		// Operators maps key names to the keys of operators.
		Operators map[string]Key `json:"operators"`
		// Policies maps kinds of work to their placement policy. Kinds without an
		// entry have the default policy.
		Policies map[Kind]Policy `json:"policies"`
		// Evacuated holds the data centres, by name, whose workers get no new work.
		Evacuated map[string]Evacuation `json:"evacuated,omitempty"`
	}

	// Evacuation is the state of an evacuated data centre. It has no fields: the
	// history of the versions tells since when, by whom and why.
	Evacuation struct{}

	// Team is a customer of the cell.
	Team struct {
		// Share is the relative weight of the team when the cell is full.
		Share int64 `json:"share"`
		// Limit is the most that the team may have running at the same time.
		Limit resource.Vector `json:"limit"`
		// QueueCount is the maximum number of queued tasks.
		QueueCount int64 `json:"queueCount"`
		// QueueBytes is the maximum size of queued payloads.
		QueueBytes int64 `json:"queueBytes"`
		// Keys maps key names to the team's keys.
		Keys map[string]Key `json:"keys"`
	}

	// Key is a valid key. Only its hash is stored.
	Key struct {
		// Hash is the SHA-256 sum of the key in lower-case hex.
		Hash string `json:"hash"`
	}

	// Policy is the placement policy for one kind of work.
	Policy struct {
		// Rank orders kinds within a team; lower ranks start first.
		Rank int64 `json:"rank"`
		// Spread prefers the emptiest worker over the fullest one.
		Spread bool `json:"spread"`
		// MaxAttempts is the number of failed attempts after which an idempotent
		// task is not retried.
		MaxAttempts int64 `json:"maxAttempts"`
		// ReserveTasks is the number of tasks of this kind for which each entry
		// VM keeps a part of each team's limit allocated in advance. It applies
		// to lookups only.
		ReserveTasks int64 `json:"reserveTasks"`
	}

	// bound is the value of a field and the range that it must be in.
	bound struct {
		field     string
		value     int64
		low, high int64
	}

	// Identity is the owner of a key.
	Identity struct {
		// Team is the team's name, empty for an operator.
		Team string
		// KeyName is the name of the key.
		KeyName string
		// Operator is set if the key belongs to an operator.
		Operator bool
	}
)

const (
	// Lookup is a short idempotent request whose caller waits.
	Lookup Kind = "lookup"
	// Batch is work that can wait.
	Batch Kind = "batch"
	// Gang is work whose tasks all start at the same time or not at all.
	Gang Kind = "gang"
	// Service is work that runs until it is stopped.
	Service Kind = "service"

	// MaxTeams is the maximum number of teams of a cell.
	MaxTeams = 256
	// MaxKeys is the maximum number of keys of a team, and of the operators.
	MaxKeys = 64
	// MaxEvacuated is the maximum number of evacuated data centres.
	MaxEvacuated = 64

	maxShare      = 1_000_000
	maxQueueCount = 1_000_000
	maxQueueBytes = int64(1) << 32
	maxRank       = 1000
	maxAttempts   = 100
	maxReserve    = 1000
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,39}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	emptyHash   = HashKey("")

	defaultPolicies = map[Kind]Policy{
		Lookup:  {Rank: 0, Spread: true, MaxAttempts: 3, ReserveTasks: 2},
		Service: {Rank: 10, Spread: true, MaxAttempts: 100},
		Gang:    {Rank: 20, Spread: false, MaxAttempts: 10},
		Batch:   {Rank: 20, Spread: false, MaxAttempts: 5},
	}
)

// Valid reports whether k is a defined kind.
func (k Kind) Valid() bool {
	_, ok := defaultPolicies[k]
	return ok
}

// HashKey returns the hash of a key, as stored in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Empty returns the document of version 0.
func Empty() *Document {
	return &Document{
		Teams:     map[string]Team{},
		Operators: map[string]Key{},
		Policies:  map[Kind]Policy{},
		Evacuated: map[string]Evacuation{},
	}
}

// Policy returns the policy for k.
func (d *Document) Policy(k Kind) Policy {
	if p, ok := d.Policies[k]; ok {
		return p
	}
	return defaultPolicies[k]
}

// IsEvacuated reports whether the workers of a data centre get no new work.
func (d *Document) IsEvacuated(dataCentre string) bool {
	_, evacuated := d.Evacuated[dataCentre]
	return evacuated
}

// EvacuatedSince returns the data centres, sorted, that are evacuated in d and were not in
// an older document.
func (d *Document) EvacuatedSince(old *Document) []string {
	var names []string
	for name := range d.Evacuated {
		if !old.IsEvacuated(name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Identify returns the owner of key; false if the key is unknown.
func (d *Document) Identify(key string) (Identity, bool) {
	if key == "" {
		return Identity{}, false
	}
	hash := HashKey(key)
	if name, ok := findKey(d.Operators, hash); ok {
		return Identity{KeyName: name, Operator: true}, true
	}
	for team, t := range d.Teams {
		if name, ok := findKey(t.Keys, hash); ok {
			return Identity{Team: team, KeyName: name}, true
		}
	}
	return Identity{}, false
}

func findKey(keys map[string]Key, hash string) (string, bool) {
	for name, k := range keys {
		if subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hash)) == 1 {
			return name, true
		}
	}
	return "", false
}

// TeamNames returns the names of the teams, sorted.
func (d *Document) TeamNames() []string {
	names := make([]string, 0, len(d.Teams))
	for name := range d.Teams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Validate returns an error that names the first invalid field.
func (d *Document) Validate() error {
	if len(d.Teams) > MaxTeams {
		return fmt.Errorf("teams: %d teams, at most %d", len(d.Teams), MaxTeams)
	}
	seen := map[string]string{}
	if err := validateKeys("operators", d.Operators, seen); err != nil {
		return err
	}
	if len(d.Operators) == 0 {
		return fmt.Errorf("operators: at least one operator key is needed")
	}
	for _, name := range d.TeamNames() {
		if err := validateTeam(name, d.Teams[name], seen); err != nil {
			return err
		}
	}
	for kind, p := range d.Policies {
		if err := validatePolicy(kind, p); err != nil {
			return err
		}
	}
	return validateEvacuated(d.Evacuated)
}

func validateEvacuated(evacuated map[string]Evacuation) error {
	if len(evacuated) > MaxEvacuated {
		return fmt.Errorf("evacuated: %d data centres, at most %d", len(evacuated), MaxEvacuated)
	}
	for name := range evacuated {
		if !namePattern.MatchString(name) {
			return fmt.Errorf("evacuated: name %q does not match %s", name, namePattern)
		}
	}
	return nil
}

func validateTeam(name string, t Team, seen map[string]string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("teams: name %q does not match %s", name, namePattern)
	}
	path := "teams." + name
	if err := t.Limit.Validate(); err != nil {
		return fmt.Errorf("%s.limit: %w", path, err)
	}
	err := checkBounds(path, []bound{
		{"share", t.Share, 1, maxShare},
		{"queueCount", t.QueueCount, 0, maxQueueCount},
		{"queueBytes", t.QueueBytes, 0, maxQueueBytes},
	})
	if err != nil {
		return err
	}
	return validateKeys(path+".keys", t.Keys, seen)
}

func validateKeys(path string, keys map[string]Key, seen map[string]string) error {
	if len(keys) > MaxKeys {
		return fmt.Errorf("%s: %d keys, at most %d", path, len(keys), MaxKeys)
	}
	names := make([]string, 0, len(keys))
	for name := range keys {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		keyPath := path + "." + name
		hash := keys[name].Hash
		if !namePattern.MatchString(name) {
			return fmt.Errorf("%s: name does not match %s", keyPath, namePattern)
		}
		if !hashPattern.MatchString(hash) || hash == emptyHash {
			return fmt.Errorf("%s.hash: not the SHA-256 sum of a key in lower-case hex", keyPath)
		}
		if other, ok := seen[hash]; ok {
			return fmt.Errorf("%s.hash: the same key is granted as %s", keyPath, other)
		}
		seen[hash] = keyPath
	}
	return nil
}

func validatePolicy(kind Kind, p Policy) error {
	if !kind.Valid() {
		return fmt.Errorf("policies.%s: unknown kind of work", kind)
	}
	return checkBounds("policies."+string(kind), []bound{
		{"rank", p.Rank, 0, maxRank},
		{"maxAttempts", p.MaxAttempts, 1, maxAttempts},
		{"reserveTasks", p.ReserveTasks, 0, maxReserve},
	})
}

func checkBounds(path string, bounds []bound) error {
	for _, b := range bounds {
		if b.value < b.low || b.value > b.high {
			return fmt.Errorf("%s.%s: %d, outside %d to %d", path, b.field, b.value, b.low, b.high)
		}
	}
	return nil
}
