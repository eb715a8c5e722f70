package rig

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is a process that the rig started. Its output goes to a file.
type Process struct {
	command *exec.Cmd
	output  string
	// exited is closed when the process has exited.
	exited chan struct{}
}

// startProcess starts a program.
func startProcess(output, program string, args ...string) (*Process, error) {
	file, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	p := &Process{
		command: exec.Command(program, args...),
		output:  output,
		exited:  make(chan struct{}),
	}
	p.command.Stdout = file
	p.command.Stderr = file
	// The kernel ends the process if the rig ends without doing so.
	p.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the ID of the process.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Kill ends the process, waits until it has exited and returns when the signal had been
// sent.
func (p *Process) Kill() time.Time {
	_ = p.command.Process.Kill()
	sent := time.Now()
	<-p.exited
	return sent
}

// Output returns what the process has written.
func (p *Process) Output() string {
	content, err := os.ReadFile(p.output)
	if err != nil {
		return err.Error()
	}
	return string(content)
}
