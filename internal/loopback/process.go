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

// Process runs a program in a separate process, which can be restarted after it has exited. Signals
// are sent only to the process that it has started, by its ID. Process is safe for concurrent use
// after Start.
type Process struct {
	Path string
	Args []string
	// Env is added to the environment, in the form NAME=value.
	Env []string
	// Log is the file to which standard output and standard error are appended.
	Log string

	// starting is held while the process is restarted, so that only one of several callers that
	// detect its exit restarts it.
	starting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts the program. It can be called again after the process has exited.
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

// EnsureRunning restarts the program if it has exited.
func (p *Process) EnsureRunning() error {
	p.starting.Lock()
	defer p.starting.Unlock()
	select {
	case <-p.Done():
		return p.Start()
	default:
		return nil
	}
}

// ID returns the process ID.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Signal sends a signal to the process. It does nothing if the process has exited.
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
	// The process has exited, but Wait has not returned yet.
	return nil
}

// Kill kills the process, even if it is paused, and waits until it has exited.
func (p *Process) Kill() {
	// Done is called first, because another goroutine may restart the process as soon as it exits.
	done := p.Done()
	_ = p.Signal(syscall.SIGKILL)
	<-done
}

// ExitCode returns the exit code. The process must have exited.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// FreeAddresses returns n loopback addresses with free ports. The ports are not reserved, so
// another process may take them.
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
