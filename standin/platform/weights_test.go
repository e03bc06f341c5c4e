package platform

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFetchesTakeLongerWhereManyRunAndWaitTheirTurn(t *testing.T) {
	const fetchTime = 250 * time.Millisecond
	for name, tc := range map[string]struct {
		limits  WeightLimits
		fetches int
		want    time.Duration
	}{
		"at full speed":     {WeightLimits{FetchTime: fetchTime, MaxFullSpeed: 8}, 8, fetchTime},
		"twice as many":     {WeightLimits{FetchTime: fetchTime, MaxFullSpeed: 8}, 16, 2 * fetchTime},
		"two a second":      {WeightLimits{FetchTime: fetchTime, MaxFullSpeed: 8, MaxStartsPerSecond: 2}, 5, 2*time.Second + fetchTime},
		"no bound, no time": {WeightLimits{}, 100, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New()
				p.SetWeightLimits(tc.limits)
				began := time.Now()
				var group sync.WaitGroup
				for range tc.fetches {
					group.Go(func() {
						answer := httptest.NewRecorder()
						p.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/weights/w%2F1/data", nil))
						if answer.Code != http.StatusOK {
							t.Errorf("status %d", answer.Code)
						}
					})
				}
				group.Wait()
				require.Equal(t, tc.want, time.Since(began))
			})
		})
	}
}
