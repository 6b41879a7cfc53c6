package engine

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"minttray/internal/claims"
)

// sharedIDs returns the ids of a process that has shared its table, and of another that has started beside it.
func sharedIDs(t *testing.T, taken ...string) (old, next *recentIDs) {
	t.Helper()
	old = newRecentIDs(time.Second, nil)
	for _, id := range taken {
		if err := old.add(id, time.Now(), true); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "ids")
	table, err := claims.Create(path, "n0", old.key)
	if err != nil {
		t.Fatal(err)
	}
	old.share(table, time.Now())
	joined, err := claims.Open(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	return old, newRecentIDs(time.Second, joined)
}

func expectAdd(t *testing.T, s *recentIDs, id string, at time.Time, want error) {
	t.Helper()
	if err := s.add(id, at, true); err != want {
		t.Errorf("%s: %v, want %v", id, err, want)
	}
}

// Guards against an id that two processes of one proxy take: before the second one starts, and by either while both serve.
func TestAnIDIsTakenByOneOfTwoProcesses(t *testing.T) {
	old, next := sharedIDs(t, "before")
	now := time.Now()
	expectAdd(t, next, "before", now, ErrDuplicateID)
	expectAdd(t, old, "at the old one", now, nil)
	expectAdd(t, next, "at the old one", now, ErrDuplicateID)
	expectAdd(t, next, "at the new one", now, nil)
	expectAdd(t, old, "at the new one", now, ErrDuplicateID)

	// The claims of a process that has ended hold until its ops would have ended, then the table is left.
	next.setAlone(now)
	later := now.Add(900 * time.Millisecond)
	expectAdd(t, next, "at the old one", later, ErrDuplicateID)
	expectAdd(t, next, "after the end", later, nil)
	if next.shared == nil {
		t.Error("the table was left while claims hold")
	}
	expectAdd(t, next, "alone", now.Add(1100*time.Millisecond), nil)
	if next.shared != nil {
		t.Error("the table was not left")
	}
	expectAdd(t, next, "after the end", now.Add(1200*time.Millisecond), ErrDuplicateID)
}

// Guards against ids that are forgotten at the second of two upgrades in a row: the first process's claims still hold.
func TestClaimsGoOnToTheNextButOneProcess(t *testing.T) {
	_, second := sharedIDs(t, "first's")
	now := time.Now()
	expectAdd(t, second, "second's", now, nil)
	second.setAlone(now)
	path := filepath.Join(t.TempDir(), "ids")
	table, err := claims.Create(path, "n0", second.key)
	if err != nil {
		t.Fatal(err)
	}
	second.share(table, now)
	joined, err := claims.Open(path, "n0")
	if err != nil {
		t.Fatal(err)
	}
	third := newRecentIDs(time.Second, joined)
	for _, id := range []string{"first's", "second's"} {
		expectAdd(t, third, id, now, ErrDuplicateID)
	}
}

// Guards against at-most-once ops that may run twice: what another process has taken can't be told, or the table is full.
func TestWhatCannotBeToldIsRefusedForAtMostOnce(t *testing.T) {
	ids := newRecentIDs(time.Second, nil)
	now := time.Now()
	ids.setUnanswered()
	expectAdd(t, ids, "a", now, ErrUnknownID)
	if err := ids.add("a", now, false); err != nil {
		t.Errorf("an op that may run again: %v", err)
	}
	old, _ := sharedIDs(t)
	ids.join(old.shared) // the key is another one than that of the ids taken so far
	expectAdd(t, ids, "b", now, nil)
	expectAdd(t, old, "b", now, ErrDuplicateID)
	ids.setAlone(now)
	expectAdd(t, ids, "c", now.Add(2*time.Second), nil)

	full, _ := sharedIDs(t)
	const slotBits, claimsOfOneSlot = 24, 64 // hashes with the same low bits share their slots, which are fewer than that
	for i := range claimsOfOneSlot {
		full.shared.Claim(uint64(i+1)<<slotBits|full.key.Hash("crowded")&(1<<slotBits-1), now, time.Hour)
	}
	expectAdd(t, full, "crowded", now, ErrUnknownID)
	if err := full.add("crowded", now, false); err != nil {
		t.Errorf("an op that may run again: %v", err)
	}
}

// One process alone must not pay for the table.
func TestAProcessAloneHasNoTable(t *testing.T) {
	ids := newRecentIDs(time.Second, nil)
	expectAdd(t, ids, "a", time.Now(), nil)
	ids.setAlone(time.Now())
	if ids.shared != nil || !ids.leaveAt.IsZero() {
		t.Error("a table is in use")
	}
}

func BenchmarkAdd(b *testing.B) {
	for name, shared := range map[string]bool{"alone": false, "beside another process": true} {
		b.Run(name, func(b *testing.B) {
			ids := newRecentIDs(time.Second, nil)
			if shared {
				table, err := claims.Create(filepath.Join(b.TempDir(), "ids"), "n0", ids.key)
				if err != nil {
					b.Fatal(err)
				}
				ids.share(table, time.Now())
			}
			start := time.Now()
			for i := range b.N {
				ids.add(fmt.Sprintf("%016x", i), start.Add(time.Duration(i)*100*time.Microsecond), true)
			}
		})
	}
}

// An at-most-once op must not run again because a flood of other ids had the proxy forget its own.
func TestAFloodOfIDsDoesNotLetAnAtMostOnceIDRunTwice(t *testing.T) {
	now := time.Now()
	ids := newRecentIDs(time.Second, nil)
	if err := ids.add("pay", now, true); err != nil {
		t.Fatal(err)
	}
	for i := range 3 * maxIDsPerGeneration {
		if err := ids.add(fmt.Sprint("read", i), now.Add(time.Millisecond), false); err != nil {
			t.Fatalf("read %d: %v", i, err)
		}
	}
	if err := ids.add("pay", now.Add(500*time.Millisecond), true); err != ErrDuplicateID {
		t.Errorf("after reads: %v, want ErrDuplicateID", err)
	}
	refused := 0
	for i := range 3 * maxIDsPerGeneration {
		if ids.add(fmt.Sprint("buy", i), now.Add(time.Millisecond), true) == ErrUnknownID {
			refused++
		}
	}
	if err := ids.add("pay", now.Add(500*time.Millisecond), true); err != ErrDuplicateID {
		t.Errorf("after at-most-once ops: %v, want ErrDuplicateID", err)
	}
	if refused < maxIDsPerGeneration {
		t.Errorf("%d at-most-once ops were refused: the ids that are kept are not bounded", refused)
	}
	if err := ids.add("later", now.Add(3*time.Second), true); err != nil {
		t.Errorf("after the retention: %v", err)
	}
}
