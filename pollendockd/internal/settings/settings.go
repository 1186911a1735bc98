// Package settings reads and validates the settings file of an entry VM.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

type (
	// Settings is the content of the settings file. Durations are strings such as
	// "500ms".
	Settings struct {
		// EntryID is the name of the VM.
		EntryID string `toml:"entryId"`
		// DataCentre is the data centre of the VM.
		DataCentre string `toml:"dataCentre"`
		// Listen is the address for callers and operators.
		Listen netip.AddrPort `toml:"listen"`
		// PeerListen is the address for other entry VMs.
		PeerListen netip.AddrPort `toml:"peerListen"`
		// Peers are the addresses of other entry VMs to contact at start.
		Peers []netip.AddrPort `toml:"peers"`
		// BootstrapHash is the SHA-256 sum, in lower-case hex, of the key that
		// may publish version 1.
		BootstrapHash string    `toml:"bootstrapHash"`
		Platform      Platform  `toml:"platform"`
		Bounds        Bounds    `toml:"bounds"`
		Telemetry     Telemetry `toml:"telemetry"`
	}

	// Platform configures the use of the platform's services.
	Platform struct {
		Log    netip.AddrPort `toml:"log"`
		VMList netip.AddrPort `toml:"vmList"`
		// AppendGap is the minimum time between two appends.
		AppendGap Duration `toml:"appendGap"`
		// SnapshotEvery is the time between snapshots.
		SnapshotEvery Duration `toml:"snapshotEvery"`
	}

	// Bounds holds the limits of requests, worker connections and the graceful stop.
	Bounds struct {
		// MaxBodyBytes bounds a request body.
		MaxBodyBytes int64 `toml:"maxBodyBytes"`
		// MaxRequests bounds the number of concurrent requests.
		MaxRequests int `toml:"maxRequests"`
		// MemoryMB is the memory of the VM, and MaxDescriptors the number that files and
		// sockets share. The limits of what clients hold follow from them.
		MemoryMB       int64 `toml:"memoryMb"`
		MaxDescriptors int   `toml:"maxDescriptors"`
		// ReadTimeout bounds how long nothing may arrive of a body.
		ReadTimeout Duration `toml:"readTimeout"`
		// StopTimeout bounds a graceful stop.
		StopTimeout Duration `toml:"stopTimeout"`
		// WorkerConnections bounds the number of connections to one worker.
		WorkerConnections int `toml:"workerConnections"`
	}

	// Telemetry configures logs and traces.
	Telemetry struct {
		// LogLevel is "debug", "info", "warn" or "error".
		LogLevel string `toml:"logLevel"`
		// TraceFile is the file to which spans are written as JSON objects; empty
		// disables it.
		TraceFile string `toml:"traceFile"`
		// TraceRatio is the fraction of requests that are traced, 0 to 1.
		TraceRatio float64 `toml:"traceRatio"`
	}

	// Duration is a time.Duration that is encoded as a string in TOML.
	Duration struct{ time.Duration }
)

const (
	maxFileBytes = 1 << 20

	minAppendGap     = time.Millisecond
	maxAppendGap     = time.Second
	minSnapshotEvery = 10 * time.Second
	maxSnapshotEvery = 24 * time.Hour
	minBodyBytes     = 4 << 10
	maxBodyBytes     = 16 << 20
	maxRequests      = 100_000
	minMemoryMB      = 48
	maxMemoryMB      = 1 << 20
	minDescriptors   = 300
	maxDescriptors   = 1 << 20
	minTimeout       = 100 * time.Millisecond
	maxTimeout       = 10 * time.Minute
	minConnections   = 2
	// maxConnections keeps the connections of a worker's current and next home entry
	// VM, and of other entry VMs that try to claim it, within a limit of 60.
	maxConnections = 24
)

var (
	// Class wraps the errors of this package.
	Class = errs.Class("settings")

	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,39}$`)
	hashPattern = regexp.MustCompile(`^([0-9a-f]{64})?$`)
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Defaults returns the default settings, which the file overrides.
func Defaults() *Settings {
	return &Settings{
		Platform: Platform{
			AppendGap:     Duration{20 * time.Millisecond},
			SnapshotEvery: Duration{10 * time.Minute},
		},
		Bounds: Bounds{
			MaxBodyBytes:      256 << 10,
			MaxRequests:       8192,
			MemoryMB:          1024,
			MaxDescriptors:    16_384,
			ReadTimeout:       Duration{10 * time.Second},
			StopTimeout:       Duration{30 * time.Second},
			WorkerConnections: maxConnections,
		},
		Telemetry: Telemetry{LogLevel: "info", TraceRatio: 0},
	}
}

// Load reads and validates the file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return Parse(path, data)
}

// Parse decodes and validates the content of a file. Errors contain the line if it is
// known.
func Parse(name string, data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, Class.New("%s: %d bytes, at most %d", name, len(data), maxFileBytes)
	}
	s := Defaults()
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, withPosition(name, err)
	}
	if err := s.validate(); err != nil {
		return nil, Class.New("%s: %v", name, err)
	}
	return s, nil
}

// withPosition adds the file name and line to a decoder's error.
func withPosition(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		row, _ := first.Position()
		return Class.New("%s:%d: unknown key %v", name, row, first.Key())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return Class.New("%s:%d: %v", name, row, decode)
	}
	return Class.New("%s: %v", name, err)
}

func (s *Settings) validate() error {
	if !namePattern.MatchString(s.EntryID) {
		return fmt.Errorf("entryId: %q does not match %s", s.EntryID, namePattern)
	}
	if !namePattern.MatchString(s.DataCentre) {
		return fmt.Errorf("dataCentre: %q does not match %s", s.DataCentre, namePattern)
	}
	if !hashPattern.MatchString(s.BootstrapHash) {
		return fmt.Errorf("bootstrapHash: not a SHA-256 sum in lower-case hex")
	}
	if err := s.validateAddrs(); err != nil {
		return err
	}
	if err := s.validateTimes(); err != nil {
		return err
	}
	return s.validateBounds()
}

func (s *Settings) validateAddrs() error {
	addrs := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"listen", s.Listen},
		{"peerListen", s.PeerListen},
		{"platform.log", s.Platform.Log},
		{"platform.vmList", s.Platform.VMList},
	}
	for _, a := range addrs {
		if !a.addr.IsValid() || a.addr.Port() == 0 {
			return fmt.Errorf("%s: an IP address with a port is needed", a.key)
		}
	}
	if s.PeerListen.Addr().IsUnspecified() {
		return fmt.Errorf("peerListen: peers need a definite IP address, not %s", s.PeerListen.Addr())
	}
	return nil
}

func (s *Settings) validateTimes() error {
	times := []struct {
		key       string
		value     Duration
		low, high time.Duration
	}{
		{"platform.appendGap", s.Platform.AppendGap, minAppendGap, maxAppendGap},
		{"platform.snapshotEvery", s.Platform.SnapshotEvery, minSnapshotEvery, maxSnapshotEvery},
		{"bounds.readTimeout", s.Bounds.ReadTimeout, minTimeout, maxTimeout},
		{"bounds.stopTimeout", s.Bounds.StopTimeout, minTimeout, maxTimeout},
	}
	for _, t := range times {
		if t.value.Duration < t.low || t.value.Duration > t.high {
			return fmt.Errorf("%s: %s, outside %s to %s", t.key, t.value, t.low, t.high)
		}
	}
	return nil
}

func (s *Settings) validateBounds() error {
	b := &s.Bounds
	if b.MaxBodyBytes < minBodyBytes || b.MaxBodyBytes > maxBodyBytes {
		return fmt.Errorf("bounds.maxBodyBytes: %d, outside %d to %d", b.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	}
	if b.MaxRequests < 1 || b.MaxRequests > maxRequests {
		return fmt.Errorf("bounds.maxRequests: %d, outside 1 to %d", b.MaxRequests, maxRequests)
	}
	if b.MemoryMB < minMemoryMB || b.MemoryMB > maxMemoryMB {
		return fmt.Errorf("bounds.memoryMb: %d, outside %d to %d", b.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	if b.MaxDescriptors < minDescriptors || b.MaxDescriptors > maxDescriptors {
		return fmt.Errorf("bounds.maxDescriptors: %d, outside %d to %d", b.MaxDescriptors, minDescriptors, maxDescriptors)
	}
	if b.WorkerConnections < minConnections || b.WorkerConnections > maxConnections {
		return fmt.Errorf("bounds.workerConnections: %d, outside %d to %d", b.WorkerConnections, minConnections, maxConnections)
	}
	switch s.Telemetry.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return fmt.Errorf("telemetry.logLevel: %q is not debug, info, warn or error", s.Telemetry.LogLevel)
	}
	if !(s.Telemetry.TraceRatio >= 0 && s.Telemetry.TraceRatio <= 1) {
		return fmt.Errorf("telemetry.traceRatio: outside 0 to 1")
	}
	return nil
}
