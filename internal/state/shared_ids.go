package state

import (
	"os"

	"minttray/internal/claims"
)

// The table of shared ids lies beside the other files from when the process that serves has created it until its successor has mapped it.
// It is for one successor only, so that one that an earlier upgrade left behind is not taken for it.

// CreateSharedIDs creates the table in which this process and a successor claim the ids of ops.
func (s *Store) CreateSharedIDs(successor string, key claims.Key) (*claims.Table, error) {
	return claims.Create(s.path+".ids", s.sharedIDsOwner(successor), key)
}

// TakeSharedIDs maps the table that the process which serves has created for this one, and removes its file: nobody can cut it short then.
func (s *Store) TakeSharedIDs() (*claims.Table, error) {
	table, err := claims.Open(s.path+".ids", s.sharedIDsOwner(s.process))
	if err == nil {
		os.Remove(s.path + ".ids")
	}
	return table, err
}

// RemoveSharedIDs deletes the file of a table that no process has mapped.
func (s *Store) RemoveSharedIDs() { os.Remove(s.path + ".ids") }

func (s *Store) sharedIDsOwner(successor string) string { return s.proxy + "\x00" + successor }
