package scenes_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"gitlab.com/curranttiller/curranttiller/internal/stand/fleet"
	"gitlab.com/curranttiller/curranttiller/internal/stand/load"
	"gitlab.com/curranttiller/curranttiller/pkg/caller"
)

const (
	serviceName  = "reservas"
	awaitTimeout = 20 * time.Second
	pollPeriod   = 20 * time.Millisecond
	// budgetWindowMillis is the window of the probe limit in the script budget.txtar.
	budgetWindowMillis = 4000
	// fastSettings shortens the timeouts of the membership, and fastDocument the time for
	// which callers cache directory responses, so that scripts need not wait long.
	fastSettings = "\n[Membership]\nHeartbeatMillis = 100\nFailAfterMillis = 1500\n"
	fastDocument = "[Steering]\nDirectoryHoldMillis = 500\n"
)

// scene is the state of one script. The keys of the maps are the names that the script
// gives to its loads, which are request sequences that the load command starts.
type scene struct {
	ctx        context.Context
	fleet      *fleet.Fleet
	sessions   map[string]*load.Session
	results    map[string]*load.Result
	startTimes map[string]time.Time
	client     *caller.Client
}

type sceneKey struct{}

func TestScenes(t *testing.T) {
	if testing.Short() {
		t.Skip("with -short, since the scripts start many processes")
	}
	bin, err := filepath.Abs("../../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(bin, "curranttiller")); err != nil {
		t.Skip("bin/curranttiller is missing; run make build first")
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "_fixtures",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			s := &scene{
				ctx:        context.Background(),
				sessions:   make(map[string]*load.Session),
				results:    make(map[string]*load.Result),
				startTimes: make(map[string]time.Time),
			}
			env.Values[sceneKey{}] = s
			env.Vars = append(env.Vars, "BIN="+bin)
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": cmdFleet, "publish": cmdPublish, "load": cmdLoad, "ended": cmdEnded, "expect": cmdExpect,
			"process": cmdProcess, "tamper": cmdTamper, "platform": cmdPlatform, "target": cmdTarget, "list": cmdList,
			"await": cmdAwait, "program": cmdProgram, "submit": cmdSubmit, "stats": cmdStats, "append": cmdAppend, "metric": cmdMetric,
		},
	})
}

func (s *scene) close() {
	if s.client != nil {
		s.client.Close()
	}
	if s.fleet != nil {
		s.fleet.Close()
	}
}

func sceneOf(ts *testscript.TestScript) *scene {
	return ts.Value(sceneKey{}).(*scene)
}

// parseArguments replaces the defaults by the NAME=VALUE arguments and returns them. The
// defaults name all allowed arguments.
func parseArguments(ts *testscript.TestScript, args []string, defaults map[string]string) map[string]string {
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if _, known := defaults[name]; !known || !found {
			ts.Fatalf("unknown argument %q", arg)
		}
		defaults[name] = value
	}
	return defaults
}

func parseNumber(ts *testscript.TestScript, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	ts.Check(err)
	return n
}

func parseMillis(ts *testscript.TestScript, text string) time.Duration {
	return time.Duration(parseNumber(ts, text)) * time.Millisecond
}

// cmdFleet starts a system and publishes the service's document unless document=no.
// Semicolons separate the INI lines of the document (lines) and of the hosts' settings.
// retention and lag, the delay of the platform's host list, are in ms. seeds=no omits the
// addresses of peers from the hosts' settings.
// Example: fleet hosts=2 targets=4 lines='[Limits];EntryHostsAtMost=6'
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	v := parseArguments(ts, args, map[string]string{"hosts": "3", "targets": "4", "slots": "4", "retention": "3600000", "lag": "100", "document": "yes", "lines": "", "settings": "", "seeds": "yes"})
	text := strings.ReplaceAll(v["lines"], ";", "\n")
	if !strings.Contains(text, "[Steering]") {
		text += "\n" + fastDocument
	}
	f, err := fleet.Start(s.ctx, &fleet.Options{
		Program: filepath.Join(ts.Getenv("BIN"), "curranttiller"), Standin: filepath.Join(ts.Getenv("BIN"), "standin"), Dir: ts.Getenv("WORK"),
		Hosts: int(parseNumber(ts, v["hosts"])), Domains: 3, NoSeedPeers: v["seeds"] == "no", Retention: parseMillis(ts, v["retention"]), ListLag: parseMillis(ts, v["lag"]),
		SettingsLines: fastSettings + strings.ReplaceAll(v["settings"], ";", "\n"),
		Services:      []fleet.Service{{Name: serviceName, Targets: int(parseNumber(ts, v["targets"])), Slots: int(parseNumber(ts, v["slots"])), DocumentLines: text}},
	})
	ts.Check(err)
	s.fleet = f
	if v["document"] == "yes" {
		ts.Check(f.PublishDocuments(s.ctx))
	}
	s.client = caller.New(caller.Settings{Entries: f.CallerAddresses(), FailureDomain: f.Domain(0), Timeout: 5 * time.Second, Seed: 1})
}

// cmdPublish publishes a document that is based on a version. With ! the command has to
// fail, with the exit code in code if it is given. wait is in ms.
// Example: ! publish base=1 author=rui code=3
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	s := sceneOf(ts)
	v := parseArguments(ts, args, map[string]string{"base": "0", "lines": fastDocument, "author": "ana", "wait": "15000", "code": ""})
	document := fleet.Service{Name: serviceName, Slots: s.fleet.Services[0].Slots, DocumentLines: strings.ReplaceAll(v["lines"], ";", "\n")}
	path := ts.MkAbs("published.ini")
	ts.Check(os.WriteFile(path, []byte(document.DocumentText()), 0o600))
	runProgram(ts, neg, v["code"], []string{
		"publish", "--base", v["base"], "--author", v["author"], "--wait-millis", v["wait"],
		"--platform", s.fleet.PlatformAddress, "--admin", s.fleet.AdminAddresses(), path,
	})
}

// cmdProgram runs a command of the program and writes its output to the file out. ADMIN
// stands for the admin addresses and PLATFORM for the address of the platform.
// Example: program status --admin ADMIN
func cmdProgram(ts *testscript.TestScript, neg bool, args []string) {
	s := sceneOf(ts)
	for i := range args {
		if args[i] == "ADMIN" {
			args[i] = s.fleet.AdminAddresses()
		}
		if args[i] == "PLATFORM" {
			args[i] = s.fleet.PlatformAddress
		}
	}
	runProgram(ts, neg, "", args)
}

func runProgram(ts *testscript.TestScript, neg bool, code string, args []string) {
	cmd := exec.CommandContext(sceneOf(ts).ctx, filepath.Join(ts.Getenv("BIN"), "curranttiller"), args...)
	cmd.Dir = ts.Getenv("WORK")
	out, err := cmd.CombinedOutput()
	ts.Logf("%s", out)
	ts.Check(os.WriteFile(ts.MkAbs("out"), out, 0o600))
	if (err != nil) != neg {
		ts.Fatalf("unexpected result of curranttiller %s: %v", args[0], err)
	}
	if code != "" && strconv.Itoa(cmd.ProcessState.ExitCode()) != code {
		ts.Fatalf("exit code is %d, want %s", cmd.ProcessState.ExitCode(), code)
	}
}

// cmdLoad starts to send requests in the background. rate is in requests per second,
// reads is the fraction of reads, and millis, work (the mean service time) and timeout
// are in ms. The loads of a script need different seeds, because the names of the
// operations contain the seed and the targets count the runs by these names.
// Example: load bg rate=200 millis=5000
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	name := args[0]
	v := parseArguments(ts, args[1:], map[string]string{"rate": "200", "millis": "3000", "reads": "0.5", "work": "10", "timeout": "5000", "seed": "1"})
	plan := &load.Plan{
		Service: serviceName, Rate: parseNumber(ts, v["rate"]), Duration: parseMillis(ts, v["millis"]), ReadFraction: parseNumber(ts, v["reads"]),
		MeanServiceTime: parseMillis(ts, v["work"]), Timeout: parseMillis(ts, v["timeout"]), Seed: uint64(parseNumber(ts, v["seed"])),
	}
	s.startTimes[name] = time.Now()
	s.sessions[name] = load.Start(s.ctx, s.client, plan, s.startTimes[name])
}
