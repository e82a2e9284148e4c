// Package scenes runs scripted scenarios with real processes behind the fault proxy.
//
// Each script under _fixtures starts a fleet, brings a fault about and states
// what callers and the targets' own records must show. docs/DEVELOPERS.md lists the commands.
package scenes
