package main

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

// Entries and records that no worker and no entry VM writes. Another writer adds them to the
// topics of the store.
var (
	oddEntries = []string{
		"\x00\xff",
		"null",
		`{"service":"s"}`,
		strings.Repeat("[", 200_000),
		`{"x":"` + strings.Repeat("x", 250_000) + `"}`,
		`{"service":"s","address":"127.0.0.1:70000","zone":"dc","state":"ready","capacity":{"cpu":16000,"mem-mb":64000},"born":1}`,
		`{"service":"s","address":"127.0.0.1:0","zone":"dc","state":"ready","capacity":{"cpu":16000,"mem-mb":64000},"born":1}`,
		`{"service":"s","address":"127.0.0.1:9","zone":"dc","state":"ready","capacity":{"cpu":9223372036854775807},"born":1e999}`,
		`{"service":"none","address":"127.0.0.1:9","zone":"dc","state":"ready","capacity":{"cpu":16000,"mem-mb":64000},"born":1}`,
	}
	oddRecords = []site.Entry{
		{Key: "j", Value: []byte("0")},
		{Key: "j/odd", Value: []byte(strings.Repeat("\x81", 200_000))},
		{Key: "s/odd", Value: []byte("\x00\xff")},
		{Key: "m/odd", Value: []byte{0}},
		{Key: "\xff", Value: []byte("x")},
	}
)

// oddEntryInterval is the time between two entries of the other writer. A worker writes its
// own each heartbeat interval.
const oddEntryInterval = 100 * time.Millisecond

// writeOddEntries overwrites the entry of a random worker and adds one of another id, for a
// while.
func writeOddEntries(c *cell, r *rand.Rand) {
	id := randomWorker(c, r)
	value := []byte(oddEntries[r.IntN(len(oddEntries))])
	end := time.Now().Add(time.Duration(500+r.IntN(4000)) * time.Millisecond)
	for time.Now().Before(end) && c.ctx.Err() == nil {
		c.appendOdd(c.serverStore, site.Entry{Key: id, Value: value}, site.Entry{Key: "odd-" + id, Value: value})
		time.Sleep(oddEntryInterval)
	}
}

// writeOddRecord adds a record to those of the entry VMs.
func writeOddRecord(c *cell, r *rand.Rand) {
	c.appendOdd(c.cellStore, oddRecords[r.IntN(len(oddRecords))])
}

// appendOdd appends entries. Errors are ignored: entries that a silent or unavailable store
// does not take are no fault of the cell.
func (c *cell) appendOdd(store *fleet.Store, entries ...site.Entry) {
	ctx, cancel := context.WithTimeout(c.ctx, oddEntryInterval)
	defer cancel()
	_, _ = store.Append(ctx, entries)
}
