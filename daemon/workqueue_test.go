package daemon

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/core"
)

func TestWorkQueues_HungOrdersDelayNoStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		q := newWorkQueues()
		called := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			q.run(ctx, func(ctx context.Context, d core.Decision) {
				if _, isOrder := d.(core.Order); isOrder {
					<-ctx.Done()
					return
				}
				called++
			})
		}()
		for range 2 * workersPerQueue {
			q.add(core.Order{})
		}
		q.add(core.StoreRead{})
		synctest.Wait()
		require.Equal(t, 1, called)
		cancel()
		<-done
	})
}
