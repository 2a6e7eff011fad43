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

// Process is a program in a process of its own, which can be restarted after it has ended. Signals
// are sent only to the process that it has started itself, by its ID. It is safe for concurrent use
// after Start.
type Process struct {
	Path string
	Args []string
	// Env is added to the environment, as NAME=value.
	Env []string
	// Log is the file that both outputs are appended to.
	Log string

	// starting is held while the process starts: of two callers that saw it end, only one may
	// restart it.
	starting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Start runs the program, also after it has ended.
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

// StartAgain restarts the program if it has ended.
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

// ID returns the process ID.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Signal sends a signal, unless the process has ended.
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
	// It has ended, and was not waited for yet.
	return nil
}

// Kill ends the process at once, even if it is paused, and waits for its end.
func (p *Process) Kill() {
	// Another goroutine may restart it as soon as it has ended.
	done := p.Done()
	_ = p.Signal(syscall.SIGKILL)
	<-done
}

// ExitCode returns the exit code of a process that has ended.
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
