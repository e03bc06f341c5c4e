package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jasminelock/jasminelock/store"
)

// restoredChangeBound is the time within which a change that is accepted by the restored store is in force on every host.
const restoredChangeBound = 5 * time.Second

// keyChange accepts a change of the key without a check of its propagation.
func (w *world) keyChange(withdrawn bool) {
	w.acceptChange("key", "acme-1", fmt.Sprintf(`{"organisation":"acme","hash":%q,"withdrawn":%t}`, secret, withdrawn))
}

// checkEach returns the first error of check over all hosts.
func (w *world) checkEach(check func(h *simHost) error) error {
	for _, h := range w.hosts {
		if err := check(h); err != nil {
			return fmt.Errorf("%s: %w", h.name, err)
		}
	}
	return nil
}

// checkKey checks whether every host accepts the key.
func (w *world) checkKey(want bool) error {
	return w.checkEach(func(h *simHost) error {
		if _, valid := h.config.Authorised(secret); valid != want || !w.now.Before(h.node.FreshUntil()) {
			return fmt.Errorf("accepts the key: %t, want %t; fresh until %v, now %v", valid, want, h.node.FreshUntil(), w.now)
		}
		return nil
	})
}

// runRestores restores the table service twice from a copy that lacks the withdrawal of a key and the newest organisation.
// before is the number of changes in the copy, besides the key's.
func (w *world) runRestores(before int) error {
	w.keyChange(false)
	for range before {
		w.acceptChange("organisation", "other", `{}`)
	}
	copied := len(w.changes)
	if err := w.run(10 * time.Second); err != nil {
		return err
	}
	w.keyChange(true)
	w.acceptChange("organisation", "lost", `{}`)
	w.acceptChange("organisation", "lost-2", `{}`)
	if err := w.run(10 * time.Second); err != nil {
		return err
	}
	for era := range int64(2) {
		w.restore(copied)
		restarted := w.hosts[len(w.hosts)-1]
		w.after(time.Second, func() { w.startHost(restarted) })
		if err := w.run(20 * time.Second); err != nil {
			return err
		}
		if err := w.checkKey(false); err != nil {
			return fmt.Errorf("before the operator has written in era %d: %w", era+1, err)
		}
		w.keyChange(era == 0)
		w.acceptChange("organisation", fmt.Sprint("written-", era), `{}`)
		if err := w.run(restoredChangeBound); err != nil {
			return err
		}
		if err := w.checkInForce(fmt.Sprint("written-", era)); err != nil {
			return fmt.Errorf("era %d: %w", era+1, err)
		}
		if err := w.checkKey(era != 0); err != nil {
			return fmt.Errorf("after the operator has written in era %d: %w", era+1, err)
		}
	}
	return nil
}

// checkInForce checks that the head is in force on every host, with a written organisation and without lost ones.
func (w *world) checkInForce(written string) error {
	return w.checkEach(func(h *simHost) error {
		if h.config.Revision != w.head() {
			return fmt.Errorf("revision %d in force, the head is %d", h.config.Revision, w.head())
		}
		for name, want := range map[string]bool{"acme": true, written: true, "lost": false, "lost-2": false} {
			if _, ok := h.config.Organisation(name); ok != want {
				return fmt.Errorf("has organisation %s: %t, want %t", name, ok, want)
			}
		}
		return nil
	})
}

// Guards against hosts that take a withdrawn key back from an older copy, that ignore what the operator writes afterwards
// because the head is lower than before, and that apply it to a configuration which the restored store does not have.
func TestRestore_ConfigurationInForce(t *testing.T) {
	for _, before := range []int{0, 3, 700} { // 700 changes are more than the change log retains
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(before, "/", seed), func(t *testing.T) {
				w := newWorld(seed, 9, 3)
				require.NoError(t, w.runRestores(before))
				require.Equal(t, int64(2), store.EraOf(w.head()))
			})
		}
	}
}

// Guards against a check of restores that passes although revisions are compared without the era.
func TestRestore_DetectsIgnoredEra(t *testing.T) {
	w := newWorld(1, 9, 3)
	w.mutant.ignoreEra = true
	require.ErrorContains(t, w.runRestores(3), "revision")
}
