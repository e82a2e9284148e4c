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

// TestSoak runs seeded faults of every kind at once; make soak runs more of them.
func TestSoak(t *testing.T) {
	bin, err := filepath.Abs("../../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(bin, "curranttiller")); err != nil || testing.Short() {
		t.Skip("run make build first, and not with -short")
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
