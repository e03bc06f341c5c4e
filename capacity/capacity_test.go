package capacity

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// tolerance is the largest relative difference between a fresh figure and the
// one in docs/CAPACITY.md.
const tolerance = 0.10

// smallOptions bounds a run to sizes that take seconds under the race detector.
var smallOptions = Options{MaxHosts: 30, MaxReplicas: 120, MaxAdapters: 3_000}

func readPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	return string(raw)
}

// parseMeasurements returns the figures of a page's table of measurements.
func parseMeasurements(t *testing.T, page string) Measurements {
	t.Helper()
	_, table, found := strings.Cut(page, measurementHead)
	require.True(t, found, "the page has no table of measurements")
	var all Measurements
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 7 {
			break
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		size, err := strconv.Atoi(cells[2])
		require.NoError(t, err, line)
		value, err := strconv.ParseFloat(cells[4], 64)
		require.NoError(t, err, line)
		all = append(all, Measurement{Metric(cells[1]), size, cells[3], value, cells[5]})
	}
	return all
}

// mismatches returns the fresh measurements for which the page has no figure of
// the same metric, size and unit within the tolerance.
func mismatches(page, fresh Measurements) []Measurement {
	var wrong []Measurement
	for _, f := range fresh {
		agrees := false
		for _, p := range page {
			same := p.Metric == f.Metric && p.Size == f.Size && p.Unit == f.Unit
			agrees = agrees || same && math.Abs(f.Value-p.Value) <= tolerance*p.Value
		}
		if !agrees {
			wrong = append(wrong, f)
		}
	}
	return wrong
}

// TestCapacityPage_MatchesFreshRun compares the page with a run of the smaller
// sizes. Figures of the larger sizes can only be checked with the capacity
// command.
func TestCapacityPage_MatchesFreshRun(t *testing.T) {
	page := parseMeasurements(t, readPage(t))
	fresh, err := Measure(smallOptions)
	require.NoError(t, err)
	require.Empty(t, mismatches(page, fresh))
	metrics := map[Metric]bool{}
	for _, f := range fresh {
		metrics[f.Metric] = true
	}
	for _, p := range page {
		assert.True(t, metrics[p.Metric], "%s is no longer measured", p.Metric)
	}
}

func TestCapacityPage_RowsFollowFromMeasurements(t *testing.T) {
	page := readPage(t)
	require.Contains(t, page, rowTable(Rows(parseMeasurements(t, page))))
}

func TestMismatches_FindsChangedMeasurement(t *testing.T) {
	page := parseMeasurements(t, readPage(t))
	require.Empty(t, mismatches(page, page))
	for name, change := range map[string]func(*Measurement){
		"larger":       func(m *Measurement) { m.Value *= 1.11 },
		"smaller":      func(m *Measurement) { m.Value *= 0.89 },
		"another unit": func(m *Measurement) { m.Unit = "furlongs" },
		"another size": func(m *Measurement) { m.Size = 1_000_000 },
		"unknown":      func(m *Measurement) { m.Metric = "unknown" },
	} {
		for i := range page {
			fresh := append(Measurements{}, page...)
			change(&fresh[i])
			assert.Len(t, mismatches(page, fresh), 1, "%s: %s", name, page[i].Metric)
		}
	}
}

func TestRows_MissesFirst(t *testing.T) {
	rows := Rows(parseMeasurements(t, readPage(t)))
	for i, r := range rows {
		assert.Equal(t, r.Value <= r.Limit, r.WithinLimit(), r.Mechanism)
		if i > 0 {
			assert.True(t, r.WithinLimit() || !rows[i-1].WithinLimit(), r.Mechanism)
		}
		if !r.WithinLimit() {
			assert.NotEmpty(t, r.Change, r.Mechanism)
			assert.Positive(t, r.ValueAfterChange, r.Mechanism)
		}
	}
}

func TestNumber_ThreeDigits(t *testing.T) {
	for x, want := range map[float64]string{
		0: "0", 0.012345: "0.0123", 1: "1.00", 2.345: "2.35", 12.34: "12.3", 999.6: "1000", 43_069: "43100", 5_783_600: "5780000",
	} {
		assert.Equal(t, want, number(x))
	}
	assert.Equal(t, "2.00 times over", margin(0.5))
	assert.Equal(t, "4.00 times under", margin(4))
}

func TestMeasurements_BySize(t *testing.T) {
	m := Measurements{{"a", 7, "hosts", 1, "B"}, {"a", 30, "hosts", 2, "B"}, {"b", 1, "read", 3, "B/s"}}
	assert.InDelta(t, 2, m.atLargestSize("a"), 0)
	assert.InDelta(t, 1, m.atSize("a", 7), 0)
	assert.Equal(t, "7 to 30 hosts", m.sizes("a"))
	assert.Equal(t, "1 read", m.sizes("b"))
	assert.Panics(t, func() { m.atLargestSize("c") })
	assert.Panics(t, func() { m.atSize("a", 8) })
	assert.Equal(t, []int{7, 30}, sizesUpTo([]int{7, 30, 390}, 30))
}
