package intake_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sizesVariable is the environment variable that enables the tests at the sizes of the users' hosts, which take minutes.
const sizesVariable = "JASMINELOCK_INTAKE_SIZES"

// Clients that nobody controls made a process exceed its machine's memory and end. The process must live, stay within its
// memory and its descriptors, and answer an ordinary request while the clients go on.
func TestProcess_UncontrolledClients(t *testing.T) {
	runClientGroups(t, clientGroups())
}

// The same at 184 MB and 4,100 descriptors, with 250 and with 2,000 clients.
func TestProcess_UncontrolledClientsAtSize(t *testing.T) {
	if os.Getenv(sizesVariable) == "" {
		t.Skip("set " + sizesVariable + " to run it")
	}
	t.Run("250", func(t *testing.T) { runClientGroups(t, clientGroupsOfSize(250)) })
	t.Run("2000", func(t *testing.T) { runClientGroups(t, clientGroupsOfSize(2000)) })
}

// settleTime is how long the process is observed after the clients have sent. A longer time can only show more faults.
const settleTime = 500 * time.Millisecond

func runClientGroups(t *testing.T, all []clientGroup) {
	bin := build(t)
	for _, front := range []struct {
		name  string
		start func(*testing.T, string, clientGroup) *program
	}{{"entry", startEntry}, {"daemon", startDaemon}} {
		for _, g := range all {
			t.Run(front.name+"/"+g.name, func(t *testing.T) { checkClientGroup(t, front.start(t, bin, g), g) })
		}
	}
}

func checkClientGroup(t *testing.T, p *program, g clientGroup) {
	before, _, err := p.usage()
	require.NoError(t, err)
	sent, stop := g.start(p.address, p.path, p.header)
	defer stop()
	select {
	case <-sent:
	case <-time.After(testTimeout / 3): // a host may leave bytes unread
	}
	peak, descriptors := 0, 0
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(settleTime / 20) {
		peakNow, descriptorsNow, err := p.usage()
		require.NoError(t, err, "the process has ended: %s", p.readLog())
		peak, descriptors = peakNow, max(descriptors, descriptorsNow)
	}
	answered := p.ordinaryRequest()
	for end := time.Now().Add(testTimeout); answered != nil && time.Now().Before(end); answered = p.ordinaryRequest() {
		time.Sleep(100 * time.Millisecond)
	}
	assert.NoError(t, answered, "no ordinary request was answered")
	last, descriptorsNow, err := p.usage()
	require.NoError(t, err, "the process has ended: %s", p.readLog())
	peak, descriptors = max(peak, last), max(descriptors, descriptorsNow)
	t.Logf("resident memory %d MB before, %d MB at the peak of %d MB; %d of %d descriptors", before, peak, g.memoryMB, descriptors, g.descriptors)
	assert.LessOrEqual(t, peak, g.memoryMB, "resident memory in MB")
	assert.LessOrEqual(t, descriptors, g.descriptors, "open descriptors")
}
