package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/configcheck"
	"github.com/jasminelock/jasminelock/gateway"
	"github.com/jasminelock/jasminelock/intake"
	"github.com/jasminelock/jasminelock/platform"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/settings"
)

// Formats of a configuration.
const (
	formatRecords  = "records"
	formatPlatform = "platform"
)

// bytesPerMB is the number of bytes in a megabyte of the settings.
const bytesPerMB = 1 << 20

// checkResult is what the check command found.
type checkResult struct {
	File     string                `json:"file"`
	Format   string                `json:"format"`
	Findings []configcheck.Finding `json:"findings"`
	// Changes is what differs from the configuration in force, null if that was not given.
	Changes []configcheck.Change `json:"changes"`
}

// checkFlags are the flags of the check command.
type checkFlags struct{ against, settings string }

func checkCommand(o *options) *cobra.Command {
	var flags checkFlags
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is sent",
		Long: "Check a file of records, an array, or the platform's configuration, an object: errors with line and field,\n" +
			"entries that never take effect, and limits that contradict each other. With --settings, time-outs are checked against\n" +
			"the grace time of a host, and the largest body against its memory (memory_mb); for records, both are settings of\n" +
			"jasminelockd, and the finding is in that file.\n" +
			"Exit codes: 0 nothing was found, 1 something was found, 2 a file cannot be read or parsed.",
		// A wrong command line must not look like a finding to a script.
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 1 {
				return invalid("check: want one file, not %d", len(args))
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := check(args[0], flags)
			if err != nil {
				return invalid("%s", err)
			}
			if err := o.showCheck(cmd.OutOrStdout(), result); err != nil {
				return err
			}
			if n := len(result.Findings); n > 0 {
				return fmt.Errorf("check: %d findings in %s", n, result.File)
			}
			return nil
		},
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return invalid("check: %s", err) })
	cmd.Flags().StringVar(&flags.against, "against", "", "file with the configuration in force; for records, as get --output json writes it")
	cmd.Flags().StringVar(&flags.settings, "settings", "", "settings file of a host, for the checks against its grace time and memory")
	return cmd
}

// check checks a file. Its errors are files that cannot be read or parsed.
func check(file string, flags checkFlags) (*checkResult, error) {
	doc, err := parseConfig(file)
	if err != nil {
		return nil, err
	}
	var inForce *configcheck.Document
	if flags.against != "" {
		if inForce, err = parseConfig(flags.against); err != nil {
			return nil, err
		}
		if inForce.IsArray() != doc.IsArray() {
			return nil, fmt.Errorf("%s and %s have different formats", file, flags.against)
		}
	}
	result := &checkResult{File: file, Format: formatPlatform, Findings: []configcheck.Finding{}}
	if doc.IsArray() {
		result.Format = formatRecords
		err = checkRecords(result, doc, inForce, flags.settings)
	} else {
		err = checkPlatform(result, doc, inForce, flags.settings)
	}
	result.Findings = append(result.Findings, doc.Findings...)
	return result, err
}

func parseConfig(file string) (*configcheck.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	doc, err := configcheck.Parse(file, raw)
	if err == nil && !doc.IsArray() && doc.HasComments() {
		err = fmt.Errorf("%s: the platform's configuration is JSON without comments and without commas at the end of lists", file)
	}
	return doc, err
}

func checkRecords(result *checkResult, doc, inForce *configcheck.Document, settingsFile string) error {
	var limits configcheck.Limits
	if settingsFile != "" {
		s, err := settings.Load(settingsFile)
		if err != nil {
			return err
		}
		// A host that stops first waits until callers have learned of it.
		limits.Grace = time.Duration(s.Drain.Timeout - s.Drain.LocateWait)
		finding, err := checkLargestBody(settingsFile, s)
		if err != nil {
			return err
		}
		result.Findings = append(result.Findings, finding...)
	}
	var base []record.Envelope
	if inForce != nil {
		inForce.Decode(&base)
		if len(inForce.Findings) > 0 {
			return errors.New(inForce.Findings[0].String())
		}
	}
	records := configcheck.CheckRecords(doc, base, limits)
	if inForce == nil {
		return nil
	}
	changes, err := configcheck.Compare(base, records)
	result.Changes = append([]configcheck.Change{}, changes...)
	return err
}

// checkLargestBody returns a finding if one request with the largest body takes more than the share of a host's memory that is for
// callers. Hosts raise the limit to what the request takes, so that the share is not kept. Records state neither figure; both
// are settings of jasminelockd. Without memory_mb the memory is that of the machine, which is not known here.
func checkLargestBody(file string, s *settings.Settings) ([]configcheck.Finding, error) {
	if s.MemoryMB == 0 {
		return nil, nil
	}
	const anyDescriptors = math.MaxInt32 // they bound connections alone
	limits := intake.NewLimits(int64(s.MemoryMB)*bytesPerMB, anyDescriptors, s.Callers.Shares())
	request := gateway.LargestRequestBytes(s.Requests.MaxBodyBytes)
	raised := limits.Fitting(request)
	if raised.Bytes == limits.Bytes {
		return nil, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	doc, err := configcheck.Parse(file, raw)
	if err != nil {
		return nil, err
	}
	doc.Add(configcheck.Contradiction, "requests.max_body_bytes",
		"a request with a body of %d bytes takes up to %d bytes; callers' share of the memory, %d bytes, is too small for it, and hosts raise it to %d",
		s.Requests.MaxBodyBytes, request, limits.Bytes, raised.Bytes)
	return doc.Findings, nil
}

func checkPlatform(result *checkResult, doc, inForce *configcheck.Document, settingsFile string) error {
	var limits configcheck.Limits
	if settingsFile != "" {
		s, err := settings.LoadEntry(settingsFile)
		if err != nil {
			return err
		}
		limits = configcheck.Limits{Grace: time.Duration(s.Grace), MemoryBytes: int64(s.MemoryMB) * bytesPerMB}
	}
	platform.CheckConfig(doc, limits)
	if inForce == nil {
		return nil
	}
	changes, err := platform.CompareConfigs(inForce, doc)
	result.Changes = append([]configcheck.Change{}, changes...)
	return err
}

// showCheck writes the result as JSON, or as one line for each finding and each change.
func (o *options) showCheck(w io.Writer, result *checkResult) error {
	if o.output != formatTable {
		return o.show(w, result, table{})
	}
	for _, f := range result.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	for _, c := range result.Changes {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	if len(result.Findings) == 0 {
		_, err := fmt.Fprintln(w, "Nothing found.")
		return err
	}
	return nil
}
