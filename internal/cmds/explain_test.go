package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/internal/admin"
)

func TestExplainPrintsOutcome(t *testing.T) {
	targets := []admin.TargetExplanation{{Name: "i-1", Slots: 4}, {Name: "i-2", PassedOver: "NoFreeSlot", Occupied: 4, Slots: 4}}
	tests := []struct {
		name   string
		answer admin.Explanation
		want   []string
	}{
		{name: "goes to a target", answer: admin.Explanation{Host: "h", Route: "status", Services: []admin.ServiceExplanation{{Service: "s", Target: "i-1", Standing: "Within", Targets: targets}}}, want: []string{"Route status at h", "goes to i-1", "Share Within", "NoFreeSlot", "4/4"}},
		{name: "waits", answer: admin.Explanation{Host: "h", Services: []admin.ServiceExplanation{{Service: "s", WaitReason: "RoomForOthers"}}}, want: []string{"waits: RoomForOthers"}},
		{name: "is refused", answer: admin.Explanation{Host: "h", Services: []admin.ServiceExplanation{{Service: "s", Refusal: "QueueFull", RetryAfterMillis: 120}}}, want: []string{"is refused: QueueFull, return after 120 ms"}},
		{name: "no route", answer: admin.Explanation{Host: "h", Refusal: "NoRoute"}, want: []string{"h refuses the request: NoRoute"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.URL.Path, "/tiller/explain")
				is.Equal(r.URL.Query().Get("path"), "/status/7")
				_ = json.NewEncoder(w).Encode(tt.answer)
			}))
			defer server.Close()
			var out, errs bytes.Buffer
			c := explainCommand()
			*c.flags[0].textValue = strings.TrimPrefix(server.URL, "http://")
			*c.positionals[0].value, *c.positionals[1].value = "guests.example", "/status/7"
			code := c.run(streams{out: &out, err: &errs})
			is.Equal(code, ExitDone)
			for _, want := range tt.want {
				is.True(strings.Contains(out.String(), want))
			}
		})
	}
}
