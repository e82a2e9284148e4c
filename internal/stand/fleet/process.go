package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const stopTimeout = 20 * time.Second

// Process is one started program; it is safe for concurrent use.
type Process struct {
	name    string
	args    []string
	logPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// StartProcess starts a program; its output goes to a file in dir.
func StartProcess(dir, name string, args ...string) (*Process, error) {
	p := &Process{name: name, args: args, logPath: filepath.Join(dir, name+".log")}
	return p, p.Start()
}

// Start starts the program again with the same arguments.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	case <-time.After(stopTimeout):
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

// HasExited reports whether the program has ended.
func (p *Process) HasExited() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// PID returns the process number.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// lastAddressBlock numbers the loopback addresses given out by this process.
var lastAddressBlock atomic.Uint32

// FreeAddresses returns addresses that nothing listens on. Every call gets a
// loopback IP number of its own, because a port that is only free for the moment
// could be taken by an outgoing connection before it is used.
func FreeAddresses(count int) ([]string, error) {
	const firstPort = 10000
	number := lastAddressBlock.Add(1)
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+number%250)
	addresses := make([]string, 0, count)
	var config net.ListenConfig
	for port := firstPort; len(addresses) < count; port++ {
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil && port > firstPort+10*count {
			return nil, eris.Wrap(err, "looking for a free port")
		}
		if err != nil {
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
