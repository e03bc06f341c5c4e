package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/configstore"
	"github.com/jasminelock/jasminelock/record"
	"github.com/jasminelock/jasminelock/store"
)

// withdrawTries bounds how often a withdrawal is made again because the key's
// record was changed meanwhile.
const withdrawTries = 5

func keyCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Create and withdraw callers' keys"}
	cmd.AddCommand(keyCreateCommand(o), keyWithdrawCommand(o))
	return cmd
}

// keySpec is the spec of a key's record.
type keySpec struct {
	Organisation string `json:"organisation"`
	Hash         string `json:"hash"`
}

// createdKey is a fresh key. Secret is shown here and kept nowhere.
type createdKey struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Secret       string `json:"secret"`
	Revision     int64  `json:"revision"`
}

func keyCreateCommand(o *options) *cobra.Command {
	var organisation, name string
	cmd := &cobra.Command{
		Use:   "create --organisation NAME",
		Short: "Create a key and show its secret, once",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if name == "" {
				name = organisation + "-" + uuid.NewString()
			}
			key, err := o.createKey(cmd, name, organisation)
			if err != nil {
				return err
			}
			t := table{header: []any{"NAME", "ORGANISATION", "REVISION", "SECRET"}}
			t.rows = [][]any{{key.Name, key.Organisation, key.Revision, key.Secret}}
			return o.show(cmd.OutOrStdout(), key, t)
		},
	}
	cmd.Flags().StringVar(&organisation, "organisation", "", "organisation that owns the key")
	cmd.Flags().StringVar(&name, "name", "", "the key's name, made up where it is empty")
	_ = cmd.MarkFlagRequired("organisation")
	return cmd
}

func (o *options) createKey(cmd *cobra.Command, name, organisation string) (createdKey, error) {
	t, err := o.tables()
	if err != nil {
		return createdKey{}, err
	}
	secret := record.NewSecret()
	spec, err := json.Marshal(keySpec{organisation, record.HashSecret(secret).String()})
	if err != nil {
		return createdKey{}, err
	}
	e := record.Envelope{Schema: record.SchemaV2, Kind: record.KindKey, Name: name, Spec: spec}
	if problems := record.Validate(e); len(problems) > 0 {
		return createdKey{}, problems
	}
	records := []record.Envelope{e}
	check := configstore.CombineChecks(configstore.CheckNew(t, e.Ref()), configstore.CheckReferences(t, records))
	revision, err := configstore.NewWriter(t, check).Write(cmd.Context(), o.change("", records))
	var unknown *configstore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		// The secret is not shown, so that the key is of no use: it is safe to
		// withdraw it, and wrong to send the same change again.
		return createdKey{}, fmt.Errorf("key %s may have been created; withdraw it and create another: %w", name, err)
	}
	return createdKey{name, organisation, secret, revision}, err
}

func keyWithdrawCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw NAME",
		Short: "Withdraw a key",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := o.tables()
			if err != nil {
				return err
			}
			var result applied
			for range withdrawTries {
				result, err = o.withdraw(cmd, t, record.Ref{Kind: record.KindKey, Name: args[0]})
				var conflict *configstore.ConflictError
				if !errors.As(err, &conflict) {
					break
				}
			}
			if err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), result, result.table())
		},
	}
}

// withdraw changes nothing of the key's record but that it is withdrawn. A key
// that is withdrawn already is withdrawn again, which does no harm.
func (o *options) withdraw(cmd *cobra.Command, t store.TableService, ref record.Ref) (applied, error) {
	e, err := configstore.Get(cmd.Context(), t, ref)
	if err != nil || e.Deleted {
		return applied{}, fmt.Errorf("record %s: %w", ref, notFound(err))
	}
	e, err = record.WithField(e, "withdrawn", true)
	if err != nil {
		return applied{}, err
	}
	c := o.change("", []record.Envelope{e})
	revision, err := configstore.NewWriter(t, nil).Write(cmd.Context(), c)
	return applied{Revision: revision, Operation: c.Operation, Records: 1}, err
}

// notFound returns the error of a record that is not there or was removed.
func notFound(err error) error {
	if err == nil || errors.Is(err, store.ErrNotFound) {
		return invalid("there is no such record")
	}
	return err
}
