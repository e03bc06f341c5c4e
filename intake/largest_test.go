package intake_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/configcheck"
	"github.com/jasminelock/jasminelock/gateway"
	"github.com/jasminelock/jasminelock/intake"
)

// A completion of the largest size takes five times its bytes. On hosts of little memory it was refused although nothing else was
// held.
func TestLimits_LargestCompletionIsGranted(t *testing.T) {
	const body = 4 * mb
	for _, memory := range []int64{64 * mb, 144 * mb, 184 * mb, 1024 * mb} {
		a := newAccount(t, intake.NewLimits(memory, 4100, intake.DefaultShares()).Fitting(gateway.LargestRequestBytes(body)))
		c := a.open(0)
		_, verdict := a.HeadArrived(at(0), c, intake.HeadBytes(4000, 50))
		require.Equal(t, intake.Granted, verdict)
		_, verdict = a.Begin(at(0), c)
		require.Equal(t, intake.Granted, verdict)
		_, _ = a.SetKey(at(0), c, "key")
		a.ReadBody(at(0), c, body, body)
		_, verdict = a.Reserve(at(0), c, intake.Body, body)
		require.Equal(t, intake.Granted, verdict, "%d MB: body", memory/mb)
		require.True(t, a.BodyRead(c))
		_, verdict = a.Reserve(at(1), c, intake.Body, 4*body)
		require.Equal(t, intake.Granted, verdict, "%d MB: parsed", memory/mb)
	}
}

// The check of a configuration accepted bodies that a host refuses even if nothing else is held.
func TestLimits_BodiesThatTheCheckAccepts(t *testing.T) {
	for _, memory := range []int64{64 * mb, 144 * mb, 184 * mb, 1024 * mb} {
		size := configcheck.Limits{MemoryBytes: memory}.MaxBodyBytes()
		a := newAccount(t, intake.NewLimits(memory, 4100, intake.DefaultShares()))
		c := a.reading(0, size, 0)
		held := int64(0)
		for next := int64(16 << 10); held < size; next = min(2*next, size) { // as a buffer grows
			_, verdict := a.Reserve(at(0), c, intake.Body, next)
			require.Equal(t, intake.Granted, verdict, "%d MB: %d of %d bytes", memory/mb, next, size)
			a.Release(c, intake.Body, held)
			held = next
			c.Received(at(0), int(next))
		}
	}
}
