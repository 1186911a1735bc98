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

	// ExchangeReply contains the view of the other VM, and records that the caller
	// lacks.
	ExchangeReply struct {
		View    View
		First   int64
		Records []json.RawMessage
	}

	// View is the state that an entry VM reports about itself.
	View struct {
		// Cell names the deployment. VMs of different cells do not communicate.
		Cell        string
		EntryID     string
		Incarnation string
		DataCentre  string
		Addr        netip.AddrPort
		// Next is the offset of the next log record to be applied.
		Next int64
		// Ready is false while the VM is starting or stopping.
		Ready bool
		// FreeSlots is the number of free task slots of the VM's workers.
		FreeSlots int64
		// LogAge is the time since the last answer of the log, or of a peer that
		// reads it.
		LogAge time.Duration
	}

	// LookupRequest is a forwarded lookup. A lookup is forwarded at most once.
	LookupRequest struct {
		Trace Trace
		// Key is the caller's key, which the peer checks again.
		Key         string
		RequestID   string
		Size        resource.Vector
		ExpectedRun time.Duration
		// Left is the time left until the deadline.
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

	// OfferRequest asks for capacity for tasks of a gang.
	OfferRequest struct {
		Trace Trace
		Job   string
		Size  resource.Vector
		Count int64
		// Hold is how long the capacity is to be reserved.
		Hold time.Duration
	}

	// OfferReply lists workers with capacity, one entry per task.
	OfferReply struct {
		Workers []string
	}

	// StateRequest asks for the whole state.
	StateRequest struct {
		Trace Trace
		// Cell names the caller's deployment.
		Cell string
	}

	// StateReply is a serialized ledger.State.
	StateReply struct {
		Data []byte
	}
)
