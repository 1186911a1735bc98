// Package config holds the numbered configuration that operators publish:
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
		// Teams holds the teams by name.
		Teams map[string]Team `json:"teams"`
		// Operators holds the operators' keys by key name.
		Operators map[string]Key `json:"operators"`
		// Policies holds the placement policy for each kind of work. A kind
		// that is absent has the default policy.
		Policies map[Kind]Policy `json:"policies"`
	}

	// Team is one customer of the cell.
	Team struct {
		// Share is the weight of the team when the cell is full.
		Share int64 `json:"share"`
		// Limit is the most that the team may have running in the cell.
		Limit resource.Vector `json:"limit"`
		// QueueCount bounds the tasks that wait.
		QueueCount int64 `json:"queueCount"`
		// QueueBytes bounds the payload bytes that wait.
		QueueBytes int64 `json:"queueBytes"`
		// Keys holds the team's keys by key name.
		Keys map[string]Key `json:"keys"`
	}

	// Key is a granted key. Only its hash is kept.
	Key struct {
		// Hash is the SHA-256 sum of the key in lower-case hex.
		Hash string `json:"hash"`
	}

	// Policy says how tasks of one kind are placed.
	Policy struct {
		// Rank orders kinds within a team; lower ranks start first.
		Rank int64 `json:"rank"`
		// Spread prefers the worker with the most room over the fullest one.
		Spread bool `json:"spread"`
		// MaxAttempts bounds how often an idempotent task is started.
		MaxAttempts int64 `json:"maxAttempts"`
		// ReserveTasks is the number of tasks of this kind for which each
		// entry VM keeps part of a team's limit at hand. Lookups only.
		ReserveTasks int64 `json:"reserveTasks"`
	}

	// bound is a field with the least and the greatest value that it takes.
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
		// Operator reports whether the key is an operator's.
		Operator bool
	}
)

const (
	// Lookup is a short idempotent request whose caller waits.
	Lookup Kind = "lookup"
	// Batch is work that can wait.
	Batch Kind = "batch"
	// Gang is work whose tasks all start at once or not at all.
	Gang Kind = "gang"
	// Service is work without an end of its own.
	Service Kind = "service"

	// MaxTeams bounds the teams of a cell.
	MaxTeams = 256
	// MaxKeys bounds the keys of a team.
	MaxKeys = 64

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

// HashKey returns the hash under which a key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Empty returns the document of version zero.
func Empty() *Document {
	return &Document{
		Teams:     map[string]Team{},
		Operators: map[string]Key{},
		Policies:  map[Kind]Policy{},
	}
}

// Policy returns the policy for k.
func (d *Document) Policy(k Kind) Policy {
	if p, ok := d.Policies[k]; ok {
		return p
	}
	return defaultPolicies[k]
}

// Identify returns the owner of key, and false if no such key is granted.
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

// TeamNames returns the names of the teams in order.
func (d *Document) TeamNames() []string {
	names := make([]string, 0, len(d.Teams))
	for name := range d.Teams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Validate returns an error that names the first field outside its bounds.
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
		at := path + "." + name
		hash := keys[name].Hash
		if !namePattern.MatchString(name) {
			return fmt.Errorf("%s: name does not match %s", at, namePattern)
		}
		if !hashPattern.MatchString(hash) || hash == emptyHash {
			return fmt.Errorf("%s.hash: not the SHA-256 sum of a key in lower-case hex", at)
		}
		if other, ok := seen[hash]; ok {
			return fmt.Errorf("%s.hash: the same key is granted as %s", at, other)
		}
		seen[hash] = at
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
