package httpapi

import (
	"fmt"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
	"pollendock.example/cell/resource"
	"pollendock.example/pollendockd/internal/entry"
)

const (
	maxPayloadBytes   = 32 << 10
	maxCount          = 4096
	maxExpectedRun    = 30 * 24 * time.Hour
	maxDeadline       = 7 * 24 * time.Hour
	maxLookupDeadline = 60 * time.Second
	lookupDeadline    = 5 * time.Second
	maxWait           = 60 * time.Second
	maxKeyBytes       = 200
	maxClockAhead     = 5 * time.Minute
)

// submit handles a request for work of any kind.
func (s *Server) submit(c echo.Context) error {
	sender, err := s.requireTeam(c)
	if err != nil {
		return s.sendError(c, err)
	}
	if err := s.cell.Serving(); err != nil {
		return s.sendError(c, err)
	}
	var r api.SubmitRequest
	if err := s.decode(c, &r); err != nil {
		return s.sendError(c, err)
	}
	if err := checkRequest(&r, time.Now()); err != nil {
		return s.sendError(c, err)
	}
	if r.Kind == config.Lookup {
		return s.submitLookup(c, sender, &r)
	}
	return s.submitJob(c, sender, &r)
}

func (s *Server) submitLookup(c echo.Context, sender *caller, r *api.SubmitRequest) error {
	deadline := lookupDeadline
	if r.DeadlineMs > 0 {
		deadline = millis(r.DeadlineMs)
	}
	id, _ := c.Get(requestIDKey).(string)
	out := s.cell.Lookup(c.Request().Context(), &entry.AuthenticatedLookup{
		RequestID: id, Team: sender.Team, Key: sender.key, Size: sizeOf(r), ExpectedRun: millis(r.ExpectedRunMs),
		Deadline: time.Now().Add(deadline), Payload: r.Payload,
	})
	a := api.NewAnswer(out.Code, out.Detail)
	a.Data, a.Length, a.Digest = out.Data, len(out.Data), out.Digest
	a.RetryAfterMs = out.RetryAfter.Milliseconds()
	return s.send(c, &a, &a)
}

func (s *Server) submitJob(c echo.Context, sender *caller, r *api.SubmitRequest) error {
	now := time.Now()
	spec := ledger.Spec{
		Kind: r.Kind, Size: sizeOf(r), Count: r.Count, ExpectedRun: millis(r.ExpectedRunMs),
		Idempotent: !r.NonIdempotent, Urgent: r.Urgent, IdempotencyKey: r.IdempotencyKey,
		IssuedAt: r.IssuedAt, Payload: r.Payload, Digest: requestDigest(r),
	}
	if r.DeadlineMs > 0 {
		spec.Deadline = now.Add(millis(r.DeadlineMs))
	}
	id, _ := c.Get(requestIDKey).(string)
	a := s.cell.Accept(c.Request().Context(), &entry.AuthenticatedJob{
		RequestID: id, Team: sender.Team, KeyName: sender.KeyName, Version: sender.version, Spec: spec, Wait: millis(r.WaitMs),
	})
	return s.send(c, &a, &a)
}

// getJob returns the status of a job.
func (s *Server) getJob(c echo.Context) error {
	sender, err := s.requireTeam(c)
	if err != nil {
		return s.sendError(c, err)
	}
	wait, err := waitOf(c)
	if err != nil {
		return s.sendError(c, err)
	}
	a := s.cell.Status(c.Request().Context(), sender.Team, c.Param("job"), wait)
	return s.send(c, &a, &a)
}

func waitOf(c echo.Context) (time.Duration, error) {
	text := c.QueryParam("waitMs")
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxWait.Milliseconds() {
		return 0, code.New(code.BadDeadline, "waitMs is outside 0 to %d", maxWait.Milliseconds())
	}
	return millis(ms), nil
}

// cancelJob cancels a job.
func (s *Server) cancelJob(c echo.Context) error {
	sender, err := s.requireTeam(c)
	if err != nil {
		return s.sendError(c, err)
	}
	a := s.cell.Cancel(c.Request().Context(), sender.Team, c.Param("job"))
	return s.send(c, &a, &a)
}

func sizeOf(r *api.SubmitRequest) resource.Vector {
	return resource.Vector{
		MilliCPU: r.Size.MilliCPU, MemoryMB: r.Size.MemoryMB, Accelerators: r.Size.Accelerators, Slots: 1,
	}
}

func millis(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// requestDigest returns a digest by which a repeated request is distinguished from a
// different request with the same idempotency key.
func requestDigest(r *api.SubmitRequest) string {
	return api.Digest(fmt.Sprintf("%s %+v %d %t %t %q", r.Kind, r.Size, r.Count, r.NonIdempotent, r.Urgent, r.Payload))
}

// checkRequest validates a request and fills in defaults.
func checkRequest(r *api.SubmitRequest, now time.Time) error {
	if !r.Kind.Valid() {
		return code.New(code.BadKind, "kind %q is not lookup, batch, gang or service", r.Kind)
	}
	if len(r.Payload) > maxPayloadBytes {
		return code.New(code.TooLarge, "the payload is larger than %d bytes", maxPayloadBytes)
	}
	if r.Count == 0 {
		r.Count = 1
	}
	if r.Count < 1 || r.Count > maxCount {
		return code.New(code.BadSize, "count is outside 1 to %d", maxCount)
	}
	size := sizeOf(r)
	if err := size.Validate(); err != nil {
		return code.New(code.BadSize, "size: %v", err)
	}
	if size.MilliCPU == 0 || size.MemoryMB == 0 {
		return code.New(code.BadSize, "size: milliCpu and memoryMb are at least 1")
	}
	if err := checkTimes(r); err != nil {
		return err
	}
	if r.Kind == config.Lookup {
		return checkLookup(r)
	}
	return checkKey(r, now)
}

func checkTimes(r *api.SubmitRequest) error {
	high := maxDeadline
	if r.Kind == config.Lookup {
		high = maxLookupDeadline
	}
	bounds := []struct {
		field string
		ms    int64
		high  time.Duration
	}{
		{"expectedRunMs", r.ExpectedRunMs, maxExpectedRun},
		{"deadlineMs", r.DeadlineMs, high},
		{"waitMs", r.WaitMs, maxWait},
	}
	for _, b := range bounds {
		if b.ms < 0 || b.ms > b.high.Milliseconds() {
			return code.New(code.BadDeadline, "%s is outside 0 to %d", b.field, b.high.Milliseconds())
		}
	}
	return nil
}

func checkLookup(r *api.SubmitRequest) error {
	switch {
	case r.NonIdempotent:
		return code.New(code.BadKind, "a lookup is idempotent")
	case r.Count != 1:
		return code.New(code.BadSize, "a lookup has one task")
	case r.IdempotencyKey != "":
		return code.New(code.BadRequest, "a lookup takes no idempotency key")
	}
	return nil
}

func checkKey(r *api.SubmitRequest, now time.Time) error {
	if r.IdempotencyKey == "" {
		if r.NonIdempotent {
			return code.New(code.NeedsKey, "non-idempotent work needs an idempotencyKey")
		}
		return nil
	}
	if len(r.IdempotencyKey) > maxKeyBytes {
		return code.New(code.TooLarge, "idempotencyKey is longer than %d bytes", maxKeyBytes)
	}
	if r.IssuedAt.IsZero() || r.IssuedAt.Sub(now) > maxClockAhead {
		return code.New(code.NeedsKey, "an idempotencyKey needs issuedAt, not in the future")
	}
	if now.Sub(r.IssuedAt) > ledger.OutcomeRetention {
		return code.New(code.KeyTooOld, "the key was issued more than %s ago", ledger.OutcomeRetention)
	}
	return nil
}
