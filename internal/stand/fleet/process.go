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

// stopTimeout is how long a program may take to stop gracefully before it is killed.
const stopTimeout = 20 * time.Second

// Process is a started program. It can be started again after it has ended. It is
// safe for concurrent use.
type Process struct {
	name    string
	args    []string
	logPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// StartProcess starts the program args[0] with the other arguments. Its output is
// appended to the file NAME.log in dir.
func StartProcess(dir, name string, args ...string) (*Process, error) {
	p := &Process{name: name, args: args, logPath: filepath.Join(dir, name+".log")}
	return p, p.Start()
}

// Start starts the program with the arguments of StartProcess. The program must not be
// running.
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

// Kill sends SIGKILL and waits for the program to end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Stop sends SIGTERM, also to a program paused by SIGSTOP, and waits for the program
// to end. After 20 s it kills the program.
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

// ExitCode returns the exit code of a program that has ended, or -1 if a signal ended it.
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

// PID returns the process ID.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// addressCalls counts the calls to FreeAddresses. Each call derives its IP address from the count.
var addressCalls atomic.Uint32

// FreeAddresses returns IP:port addresses on which no process listens. Each call uses
// another loopback IP address, until they repeat after 250 calls. If all addresses had
// the same IP address, an outgoing connection could take a free port before the process
// that needs it listens on it.
func FreeAddresses(count int) ([]string, error) {
	const firstPort = 10000
	number := addressCalls.Add(1)
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+number%250)
	addresses := make([]string, 0, count)
	var config net.ListenConfig
	for port := firstPort; len(addresses) < count; port++ {
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil && port > firstPort+10*count {
			return nil, eris.Wrap(err, "finding a free port")
		}
		if err != nil {
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
