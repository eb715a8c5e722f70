// Package fleet starts instances as processes and the faults they meet: kills,
// freezes and cuts.
package fleet

import (
	"bytes"
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one program that this package started.
type Process struct {
	Name    string
	command *exec.Cmd
	output  outputBuffer
	// exited is closed when the program has ended.
	exited chan struct{}
}

// outputBuffer keeps the latest output of a process.
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
	// The program ends with this one, whatever happens.
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

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Freeze pauses the process.
func (p *Process) Freeze() {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// Terminate asks the process to leave.
func (p *Process) Terminate() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// ExitCode returns the status of a process that has ended.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.command.ProcessState.ExitCode()
}

// WaitExit waits for the end and reports whether it came in time.
func (p *Process) WaitExit(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Output returns what the process has written lately.
func (p *Process) Output() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.buffer.String()
}

// CPUTime returns the processor time of a process that has ended.
func (p *Process) CPUTime() time.Duration {
	<-p.exited
	return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
}
