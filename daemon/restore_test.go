package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/record"
)

// Two hosts live through a restore of the store from a copy that lacks the withdrawal of a key. Guards against a host that
// accepts the key again before the operator has written, and that ignores what the operator writes afterwards since the
// store's revision is lower than its own.
func TestRestore_ConfigurationInForce(t *testing.T) {
	const bound = 5 * time.Second
	d := newDeployment(t, 2)
	d.waitForLive(d.hosts, 2)
	for _, h := range d.hosts {
		d.waitForService(h)
	}
	copied := d.platform.Copy()
	d.apply("key", "acme-1", fmt.Sprintf(`{"organisation":"acme","hash":%q,"withdrawn":true}`, record.HashSecret("secret")))
	d.apply("organisation", "lost", `{}`)
	refused := func() bool {
		for _, h := range d.hosts {
			if d.getStatus(h, "/stock/kit") != http.StatusUnauthorized {
				return false
			}
		}
		return true
	}
	d.eventually(refused, "the withdrawn key is refused")
	revision := d.hosts[0].Status().Revision
	d.platform.Restore(copied)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.True(t, refused(), "the key stays withdrawn")
	}
	d.apply("organisation", "written", `{}`)
	require.Eventually(t, func() bool {
		for _, h := range d.hosts {
			if h.Status().Revision <= revision || d.getStatus(h, "/stock/kit") == http.StatusUnauthorized {
				return false
			}
		}
		return true
	}, bound, 20*time.Millisecond, "what the operator has written is in force, with all records of the restored store")
}
