package state

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// Roles, each held by at most one process.
const (
	RoleActive  = "serves" // held by the only process, or by the older one during an upgrade
	RoleStandby = "next"   // its successor
)

// maxProcessName bounds the bytes of a role's file that are read.
const maxProcessName = 64

// AcquireRole tries to take a role, which is held until ReleaseRole or the end of the process. It returns false if another process holds
// it. If locking does not work, it returns true, as if no other process existed.
func (s *Store) AcquireRole(role string) bool {
	if s.roleLocks[role] != nil {
		return true
	}
	lock, free := s.lockRole(role)
	if lock == nil {
		return free
	}
	lock.Truncate(0)
	lock.WriteString(s.process)
	s.roleLocks[role] = lock
	return true
}

// lockRole locks a role's file. lock is nil if another process holds it, or if locking does not work; free tells the two apart.
func (s *Store) lockRole(role string) (lock *os.File, free bool) {
	file, err := os.OpenFile(s.path+"."+role, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, true
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); errors.Is(err, syscall.EWOULDBLOCK) {
		file.Close()
		return nil, false
	}
	return file, true
}

// ReleaseRole releases a role.
func (s *Store) ReleaseRole(role string) {
	if f := s.roleLocks[role]; f != nil {
		f.Close()
		delete(s.roleLocks, role)
	}
}

// RoleHeldByOther reports whether another process holds a role. It tries to take the role and releases it at once, so another process's
// AcquireRole may fail meanwhile.
func (s *Store) RoleHeldByOther(role string) bool {
	if s.roleLocks[role] != nil {
		return false
	}
	lock, free := s.lockRole(role)
	if lock != nil {
		lock.Close()
	}
	return !free
}

// Standby returns the name of the process that has last taken the standby role; empty: unknown.
func (s *Store) Standby() string {
	file, err := os.Open(s.path + "." + RoleStandby)
	if err != nil {
		return ""
	}
	defer file.Close()
	name, err := io.ReadAll(io.LimitReader(file, maxProcessName))
	if err != nil {
		return ""
	}
	return string(name)
}
