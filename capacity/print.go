package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// Report is the output of the capacity command.
type Report struct {
	Rows         []Row        `json:"rows"`
	Measurements Measurements `json:"measurements"`
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTables writes the report as the tables of docs/CAPACITY.md.
func (r Report) WriteTables(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s\n%s", rowTable(r.Rows), measurementTable(r.Measurements))
	return err
}

func rowTable(rows []Row) string {
	var b strings.Builder
	b.WriteString("| Role | Mechanism | Slope | Measured over | Steps | At size | Limit | Margin | Verdict | Needs, and then |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		verdict, change := "holds", ""
		if !r.WithinLimit() {
			verdict, change = "MISS", fmt.Sprintf("%s: %s", r.Change, number(r.ValueAfterChange))
			if r.ValueAfterChange > r.Limit {
				change += ", still a miss"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s %s | %s | %s | %s | %s |\n", r.Role, r.Mechanism, r.Slope, r.MeasuredRange, r.Calculation,
			number(r.Value), r.Unit, number(r.Limit), margin(r.Margin()), verdict, change)
	}
	return b.String()
}

// margin returns the text of a row's margin: how many times the value is under or
// over the limit.
func margin(m float64) string {
	if m < 1 {
		return fmt.Sprintf("%s times over", number(1/m))
	}
	return fmt.Sprintf("%s times under", number(m))
}

const measurementHead = "| Measured | Size | Of | Value | Unit |\n|---|---|---|---|---|\n"

func measurementTable(m Measurements) string {
	var b strings.Builder
	b.WriteString(measurementHead)
	for _, x := range m {
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s |\n", x.Metric, x.Size, x.SizeUnit, number(x.Value), x.Unit)
	}
	return b.String()
}

// toThreeDigits rounds x to three significant digits, which is more precise than
// the 10% tolerance of the comparison with docs/CAPACITY.md requires.
func toThreeDigits(x float64) float64 {
	if x == 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-2)
	return math.Round(x/unit) * unit
}

// number formats x with three significant digits.
func number(x float64) string {
	return strconv.FormatFloat(toThreeDigits(x), 'f', decimals(x), 64)
}

// decimals returns the number of digits after the decimal point that gives three
// significant digits, at most 4.
func decimals(x float64) int {
	if x == 0 {
		return 0
	}
	return min(4, max(0, 2-int(math.Floor(math.Log10(math.Abs(x))))))
}

// asPrinted returns the measurements with their values rounded as in the printed
// table, so that a page and the run that produced it give the same rows.
func (m Measurements) asPrinted() Measurements {
	out := make(Measurements, len(m))
	for i, x := range m {
		x.Value, _ = strconv.ParseFloat(number(x.Value), 64) // number returns a valid float
		out[i] = x
	}
	return out
}

// Run measures all metrics and derives the rows from the rounded values.
func Run(o Options) (Report, error) {
	m, err := Measure(o)
	if err != nil {
		return Report{}, err
	}
	m = m.asPrinted()
	return Report{Rows: Rows(m), Measurements: m}, nil
}
