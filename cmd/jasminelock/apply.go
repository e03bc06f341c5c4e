package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/platform"
	"github.com/jasminelock/jasminelock/record"
)

func applyCommand() *cobra.Command {
	var file, platformURL string
	cmd := &cobra.Command{
		Use:   "apply -f records.jsonc",
		Short: "Write records in one change",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			records, err := readRecords(file)
			if err != nil {
				return err
			}
			change := configstore.Change{Operation: uuid.NewString(), Time: time.Now().UTC().Format(time.RFC3339), Records: records}
			revision, err := configstore.Write(cmd.Context(), platform.NewClient(platformURL, platform.DefaultTimeout), change)
			if err != nil {
				return err
			}
			fmt.Printf("revision %d: %d records\n", revision, len(records))
			return nil
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "file of records, JSON with comments")
	cmd.Flags().StringVar(&platformURL, "platform", os.Getenv("JASMINELOCK_PLATFORM"), "base address of the platform's services")
	return cmd
}

// readRecords reads a file that holds an array of records.
func readRecords(path string) ([]record.Envelope, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var records []record.Envelope
	if err := json.Unmarshal(std, &records); err != nil {
		return nil, fmt.Errorf("%s: want an array of records: %w", path, err)
	}
	for _, e := range records {
		if _, err := record.Decode(e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return records, nil
}
