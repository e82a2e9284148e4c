package member_test

import (
	"fmt"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/member"
)

// A member without a sign of life for FailAfter is failed, and it is alive again after a restart.
func Example() {
	now := time.Unix(0, 0)
	table := member.New(member.Info{Name: "a", Incarnation: 1}, member.Timing{FailAfter: time.Second, RemoveAfter: time.Minute}, 1)
	table.Merge(now, []member.Info{{Name: "b", Incarnation: 1, Counter: 7}})
	now = now.Add(2 * time.Second)
	b, _ := table.Lookup(now, "b")
	fmt.Println(b.State)
	table.Merge(now, []member.Info{{Name: "b", Incarnation: 2, Counter: 0}})
	b, _ = table.Lookup(now, "b")
	fmt.Println(b.State)
	// Output:
	// Failed
	// Alive
}
