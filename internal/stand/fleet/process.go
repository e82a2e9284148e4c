package fleet

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const killWait = 20 * time.Second

// Process is one started program; it is safe for concurrent use.
type Process struct {
	name string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program; its output goes to a file in dir.
func startProcess(dir, name string, args ...string) (*Process, error) {
	p := &Process{name: name, args: args, log: filepath.Join(dir, name+".log")}
	return p, p.Start()
}

// Start starts the program again with the same arguments.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrapf(err, "opening the log of %s", p.name)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.CommandContext(context.Background(), p.args[0], p.args[1:]...)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "starting %s", p.name)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd = cmd
	p.done = done
	return nil
}

// Signal sends a signal to the program.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal)
}

// Kill ends the program without warning and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Stop ends the program gracefully and waits for it; after a while it is killed.
func (p *Process) Stop() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(killWait):
		p.Kill()
	}
}

// Wait waits for the program to end.
func (p *Process) Wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// ExitCode returns the exit code of an ended program.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// PID returns the process number.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// FreeAddresses returns loopback addresses that nothing listens on.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	listeners := make([]net.Listener, 0, count)
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var config net.ListenConfig
	for range count {
		l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "looking for a free port")
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
