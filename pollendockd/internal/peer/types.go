// Package peer carries calls between entry VMs over net/rpc.
package peer

import (
	"encoding/json"
	"net/netip"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/resource"
)

type (
	// Trace is the W3C trace context of a call.
	Trace struct {
		Parent string
	}

	// ExchangeRequest is the heartbeat between entry VMs.
	ExchangeRequest struct {
		Trace Trace
		View  View
	}

	// ExchangeReply answers with the view of the other side, and with records
	// that the caller lacks.
	ExchangeReply struct {
		View    View
		First   int64
		Records []json.RawMessage
	}

	// View is what an entry VM says of itself.
	View struct {
		// Cell names the deployment. VMs of two cells do not speak.
		Cell        string
		EntryID     string
		Incarnation string
		DataCentre  string
		Addr        netip.AddrPort
		// Next is the offset up to which the log is applied.
		Next int64
		// Ready is false while the VM starts or stops.
		Ready bool
		// FreeSlots is the number of tasks for which its workers have slots.
		FreeSlots int64
		// LogAge is the time since the log, or a peer that reads it, last
		// answered.
		LogAge time.Duration
	}

	// LookupRequest forwards a lookup, once.
	LookupRequest struct {
		Trace Trace
		// Key is shown again, so the peer checks it itself.
		Key         string
		RequestID   string
		Size        resource.Vector
		ExpectedRun time.Duration
		// Left is what is left of the deadline.
		Left    time.Duration
		Payload string
	}

	// LookupReply is the final outcome of a forwarded lookup.
	LookupReply struct {
		RequestID  string
		Code       code.Code
		Detail     string
		Data       string
		Digest     string
		RetryAfter time.Duration
	}

	// OfferRequest asks for room for tasks of a gang.
	OfferRequest struct {
		Trace Trace
		Job   string
		Size  resource.Vector
		Count int64
		// Hold is how long the room is to be held.
		Hold time.Duration
	}

	// OfferReply names workers with room, one entry a task.
	OfferReply struct {
		Workers []string
	}

	// StateRequest asks for the whole state.
	StateRequest struct {
		Trace Trace
		// Cell names the deployment that the caller belongs to.
		Cell string
	}

	// StateReply is a serialized ledger.State.
	StateReply struct {
		Data []byte
	}
)
