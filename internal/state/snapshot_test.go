package state

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func newSnapshotFile(dir, settings string) *SnapshotFile {
	s := OpenSnapshotFile(dir, "n1", "a", settings)
	s.MaxAge, s.HalfLife, s.KeyWindow = time.Minute, 10*time.Second, 4*time.Second
	return s
}

func TestSnapshotOutlivesItsProcess(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	s := newSnapshotFile(dir, "one")
	if _, _, err := s.Load(now); !errors.Is(err, ErrNoSnapshot) {
		t.Error(err)
	}
	if _, err := s.Write(testMemory, now, time.Second); err != nil || s.Due(now.Add(time.Second/2)) || !s.Due(now.Add(time.Second)) {
		t.Errorf("error %v, or wrong time of the next write", err)
	}
	m, age, err := newSnapshotFile(dir, "one").Load(now.Add(5 * time.Second))
	if err != nil || age != 5*time.Second || len(m.RecentKeys) > 0 || m.Caches[7].Record.Sent.Sum() != 4 || m.Caches[7].Record.Done.Sum() != 0 {
		t.Errorf("%+v, %v old, %v", m, age, err)
	}
	for want, take := range map[string]func() error{
		"other settings": func() error { _, _, err := newSnapshotFile(dir, "two").Load(now); return err },
		"clock":          func() error { _, _, err := newSnapshotFile(dir, "one").Load(now.Add(-time.Hour)); return err },
		"at most":        func() error { _, _, err := newSnapshotFile(dir, "one").Load(now.Add(time.Hour)); return err },
		"of proxy": func() error {
			other := newSnapshotFile(dir, "one")
			other.proxy = "n2"
			_, _, err := other.Load(now)
			return err
		},
	} {
		if err := take(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Guards against using a snapshot that was cut short or corrupted, as after a process is killed during a write.
func TestTornSnapshotsAreRefused(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	s := newSnapshotFile(dir, "one")
	s.Write(testMemory, now, time.Second)
	text, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range text {
		os.WriteFile(s.path, text[:cut], 0o600)
		if m, _, err := s.Load(now); err == nil || m != nil {
			t.Fatalf("file cut at byte %d of %d was accepted", cut, len(text))
		}
		broken := []byte(string(text))
		broken[cut] ^= 4
		os.WriteFile(s.path, broken, 0o600)
		if _, _, err := s.Load(now); err == nil {
			t.Fatalf("file with byte %d of %d changed was accepted", cut, len(text))
		}
	}
	half := filepath.Join(dir, "."+filepath.Base(s.path)+"123")
	os.WriteFile(half, text[:100], 0o600)
	os.Chtimes(half, now.Add(-time.Hour), now.Add(-time.Hour))
	if newSnapshotFile(dir, "one"); len(fileNames(t, dir)) != 1 {
		t.Errorf("leftover temporary file was not removed: %v", fileNames(t, dir))
	}
}

func fileNames(t *testing.T, dir string) (names []string) {
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		names = append(names, f.Name())
	}
	return names
}

// Guards against a failing disk (full, read-only or missing) stopping the proxy or flooding its log with errors.
func TestFailingDiskIsRetriedWithBackoff(t *testing.T) {
	s, now := newSnapshotFile(filepath.Join(t.TempDir(), "gone"), "one"), time.Now()
	tried, reported := 0, 0
	for range 1000 {
		if now = now.Add(time.Second); s.Due(now) {
			tried++
			first, err := s.Write(testMemory, now, time.Second)
			if err == nil {
				t.Fatal("write to a missing directory succeeded")
			}
			if first {
				reported++
			}
		}
	}
	if reported != 1 || tried < 8 || tried > 30 {
		t.Errorf("tried %d times, want 8 to 30; reported as first failure %d times, want once", tried, reported)
	}
}

func TestOneOfTwoProcessesWrites(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	old, next := newSnapshotFile(dir, "one"), newSnapshotFile(dir, "one")
	if !old.Due(now) || next.Due(now) {
		t.Error("want exactly the first process to write")
	}
	if old.Close(); !next.Due(now) || old.Due(now) {
		t.Error("the remaining process does not write")
	}
}
