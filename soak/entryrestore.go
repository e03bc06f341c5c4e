package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jasminelock/jasminelock/standin/tables"
)

const (
	// maxCopyAge is the greatest age of the copy from which the store is restored.
	maxCopyAge = 4 * time.Second
	// maxWriteDelay is the longest time after the store's return until the operator and the replicas have written again what
	// was lost. Live upstreams register again within 2 s.
	maxWriteDelay = 1500 * time.Millisecond
	// entryExpiry is the time after the store's return at which entries of replicas that have left expire.
	entryExpiry = 4 * time.Second
)

// restoreStore takes a copy of the store, makes the store unavailable some seconds later and brings it back from the copy.
func (s *entrySoak) restoreStore(ctx context.Context, r *rand.Rand) {
	if !s.restoring.CompareAndSwap(false, true) {
		return // a drill is in progress
	}
	defer s.restoring.Store(false)
	c := s.tables.Copy()
	sleep(ctx, time.Duration(r.Int64N(int64(maxCopyAge))))
	end := s.recorder.beginDisruption(allHosts)
	s.tables.SetFaults(tables.Faults{Down: true})
	sleep(ctx, time.Duration(r.Int64N(int64(maxFaultTime))))
	replaced := s.tables.Restore(c)
	s.tables.SetFaults(tables.Faults{})
	version, era := s.tables.Version()
	s.logf("store restored from a copy: version %d of era %d", version, era)
	sleep(ctx, time.Duration(r.Int64N(int64(maxWriteDelay))))
	s.tables.WriteAgain(tables.OperatorTable, replaced)
	s.tables.RemoveAgain(tables.OperatorTable, c, replaced)
	s.tables.WriteAgain(tables.UpstreamTable, replaced)
	end()
	sleep(ctx, entryExpiry)
	s.tables.RemoveAgain(tables.UpstreamTable, c, replaced)
}
