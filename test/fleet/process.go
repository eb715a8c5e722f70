// Package fleet runs a fleet of instances as processes on loopback and injects
// faults: killed and frozen processes and blocked connections between peers.
package fleet

import (
	"bytes"
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a child process.
type Process struct {
	Name    string
	command *exec.Cmd
	output  outputBuffer
	// exited is closed when the process has exited.
	exited chan struct{}
}

// outputBuffer retains the latest output of a process. It is emptied when it
// exceeds maxOutputBytes.
type outputBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

const maxOutputBytes = 1 << 20

// Write implements io.Writer.
func (b *outputBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buffer.Len() > maxOutputBytes {
		b.buffer.Reset()
	}
	return b.buffer.Write(p)
}

// StartProcess starts a program with additional environment variables.
func StartProcess(name, program string, environment []string, args ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		command: exec.Command(program, args...),
		exited:  make(chan struct{}),
	}
	p.command.Env = append(p.command.Environ(), environment...)
	p.command.Stderr = &p.output
	p.command.Stdout = &p.output
	// The kernel kills the child if this process dies.
	p.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// Terminate requests a graceful stop with SIGTERM.
func (p *Process) Terminate() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// ExitCode waits for the process to exit and returns its exit code.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.command.ProcessState.ExitCode()
}

// WaitExit reports whether the process exits within limit.
func (p *Process) WaitExit(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// PID returns the id of the process.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Output returns the latest output of the process, stdout and stderr together.
func (p *Process) Output() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.buffer.String()
}

// CPUTime waits for the process to exit and returns its user and system time.
func (p *Process) CPUTime() time.Duration {
	<-p.exited
	return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
}
