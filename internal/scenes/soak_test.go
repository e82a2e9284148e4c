package scenes_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/stand/soak"
)

// TestSoak injects random faults of every kind at the same time and checks that no
// guarantee to callers is violated. make soak does so for a longer time.
func TestSoak(t *testing.T) {
	bin, err := filepath.Abs("../../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(bin, "curranttiller")); err != nil || testing.Short() {
		t.Skip("bin/curranttiller is missing, so run make build first, or -short is set")
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			err := soak.Run(context.Background(), &soak.Options{
				Program: filepath.Join(bin, "curranttiller"), Standin: filepath.Join(bin, "standin"),
				Seed: seed, Duration: 15 * time.Second, Rate: 200,
			}, t.Output())
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		})
	}
}
