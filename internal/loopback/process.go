package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process is a program in a process of its own, which can be started again after it has ended. Only the process that it has
// started itself is ever sent a signal, by its id.
type Process struct {
	Path string
	Args []string
	// Env is added to the environment, in the form NAME=value.
	Env []string
	// Log is the file to which both outputs are appended.
	Log string

	// starting is held while the process starts: two that both saw it end must not both start it.
	starting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Start runs the program, again if it ran before.
func (p *Process) Start() error {
	file, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("loopback.Start: %w", err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
	return nil
}

// StartAgain runs the program again if it has ended; otherwise it does nothing.
func (p *Process) StartAgain() error {
	p.starting.Lock()
	defer p.starting.Unlock()
	select {
	case <-p.Done():
		return p.Start()
	default:
		return nil
	}
}

// ID is the process's id.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Signal sends the process a signal. One that has ended is passed over.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	select {
	case <-done:
		return nil
	default:
	}
	if err := cmd.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	// It has ended, and is only not waited for yet.
	return nil
}

// Kill ends the process at once, also if it is paused, and waits until it is gone.
func (p *Process) Kill() {
	// Another goroutine may start it again as soon as it has ended.
	done := p.Done()
	_ = p.Signal(syscall.SIGKILL)
	<-done
}

// ExitCode is that of the process, which must have ended.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// FreeAddresses returns addresses on loopback at which nothing listened a moment ago.
func FreeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}
