// Package launcher starts and stops shallotkeel's programs as separate processes
// for the demo and the bench.
//
// Invariants: only processes that this package started are signalled, by their id
// and only before they have been waited for, so that a reused id cannot make a
// signal reach an unrelated process. Fleet.Close ends every started process, and
// the kernel does if the bench dies first.
package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrProcess is the base of every error about a process.
var ErrProcess = merry.Sentinel("process failed")

const (
	fileMode   = 0o644
	folderMode = 0o755
	// ticksPerSecond is USER_HZ, the unit of processor times in /proc. Linux fixes it
	// for user space.
	ticksPerSecond = 100
)

// Process is a program that was started.
type Process struct {
	Name    string
	Log     string // path of its log file
	command *exec.Cmd
	ended   chan struct{} // closed when it has ended
	lock    sync.Mutex    // guards reaped; held while signalling, so that the id cannot be reused meanwhile
	reaped  bool          // it has been waited for, and its id is free
}

// spawnQueue returns the queue of a thread that starts all processes and lives as
// long as the bench: the parent-death signal is sent when the starting thread ends,
// not when the parent process ends.
var spawnQueue = sync.OnceValue(func() chan func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range queue {
			start()
		}
	}()
	return queue
})

// Start starts a program. Its settings are written to NAME.json in the folder, and
// its output is appended to NAME.log there.
func Start(folder, name, program string, settings any) (*Process, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, merry.Errorf("%w: %s: %v", ErrProcess, name, err)
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, text, fileMode); err != nil {
		return nil, merry.Errorf("%w: %s: %v; check the data folder", ErrProcess, name, err)
	}
	return Spawn(folder, name, exec.Command(program, "--settings", path))
}

// Spawn starts a command. Its output is appended to NAME.log in the folder.
func Spawn(folder, name string, command *exec.Cmd) (*Process, error) {
	log := filepath.Join(folder, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, merry.Errorf("%w: %s: %v; check the data folder", ErrProcess, name, err)
	}
	defer out.Close()
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	spawnQueue() <- func() { failed <- command.Start() }
	if err := <-failed; err != nil {
		return nil, merry.Errorf("%w: %s: %v; run make build first", ErrProcess, name, err)
	}
	p := &Process{Name: name, Log: log, command: command, ended: make(chan struct{})}
	go p.wait()
	return p, nil
}

// wait reaps the process when it ends.
func (p *Process) wait() {
	_ = p.command.Wait()
	p.lock.Lock()
	p.reaped = true
	p.lock.Unlock()
	close(p.ended)
}

// signal sends a signal unless the process has been waited for.
func (p *Process) signal(signal syscall.Signal) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.reaped {
		// os.Process refuses to signal a process that has been waited for.
		_ = p.command.Process.Signal(signal)
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Terminate sends SIGTERM, which asks the process to stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Freeze sends SIGSTOP, which suspends the process without notice.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume sends SIGCONT, which continues a frozen process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Status returns the exit status of a process that has ended, and -1 if a signal
// ended it.
func (p *Process) Status() int { return p.command.ProcessState.ExitCode() }

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// End asks the process to stop, also if it is frozen, and kills it after the grace
// time. It reports whether the process stopped without being killed.
func (p *Process) End(grace time.Duration) bool {
	p.Resume()
	p.Terminate()
	select {
	case <-p.ended:
		return true
	case <-time.After(grace):
		p.Kill()
		return false
	}
}

// CPU returns the processor time, user and system, that the process has used.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, merry.Errorf("%w: %s has ended: %v", ErrProcess, p.Name, err)
	}
	// The second field is the program's name in parentheses and may contain blanks.
	rest := text[bytes.LastIndexByte(text, ')')+1:]
	fields := strings.Fields(string(rest))
	const user, system = 11, 12 // fields 14 and 15 of proc(5), as indexes after the name
	if len(fields) <= system {
		return 0, merry.Errorf("%w: /proc/%d/stat is short", ErrProcess, p.PID())
	}
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, merry.Errorf("%w: /proc/%d/stat: %v", ErrProcess, p.PID(), err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// Memory returns the resident memory of the process in bytes.
func (p *Process) Memory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return 0, merry.Errorf("%w: %s has ended: %v", ErrProcess, p.Name, err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, merry.Errorf("%w: /proc/%d/statm is short", ErrProcess, p.PID())
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
