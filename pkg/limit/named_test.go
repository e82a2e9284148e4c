package limit_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

func TestParse(t *testing.T) {
	tests := []struct {
		text       string
		perSecond  float64
		isUsable   bool
		hasProblem bool
	}{
		{text: "", isUsable: true},
		{text: "3.4", perSecond: 3.4, isUsable: true},
		{text: " 12 ", perSecond: 12, isUsable: true},
		{text: "0.25", perSecond: 0.25, isUsable: true},
		{text: "0.1", perSecond: limit.MinPerSecond, isUsable: true, hasProblem: true},
		{text: "2.857142857", perSecond: 2.857, isUsable: true},
		{text: "0", perSecond: limit.MinPerSecond, isUsable: true, hasProblem: true},
		{text: "-0", perSecond: limit.MinPerSecond, isUsable: true, hasProblem: true},
		{text: "0.0000001", perSecond: limit.MinPerSecond, isUsable: true, hasProblem: true},
		{text: "99999999999", perSecond: limit.MaxPerSecond, isUsable: true, hasProblem: true},
		{text: strings.Repeat("9", 400), perSecond: limit.MaxPerSecond, isUsable: true, hasProblem: true},
		{text: "-1", hasProblem: true},
		{text: "NaN", hasProblem: true},
		{text: "Inf", hasProblem: true},
		{text: "0x10", hasProblem: true},
		{text: "1e3", hasProblem: true},
		{text: "3,4", hasProblem: true},
		{text: "1 2", hasProblem: true},
		{text: "1.2.3", hasProblem: true},
		{text: ".", hasProblem: true},
		{text: strings.Repeat("x", 4000), hasProblem: true},
	}
	for _, test := range tests {
		t.Run(test.text[:min(len(test.text), 20)], func(t *testing.T) {
			is := is.New(t)
			got := limit.Parse(test.text)
			is.Equal(got.PerSecond, test.perSecond)
			is.Equal(got.IsUsable(), test.isUsable)
			is.Equal(got.Problem != "", test.hasProblem)
			is.True(len(got.Text) <= 64)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("3.4")
	f.Add("-1e400")
	f.Fuzz(func(t *testing.T, text string) {
		got := limit.Parse(text)
		if got.PerSecond != 0 && !(got.PerSecond >= limit.MinPerSecond && got.PerSecond <= limit.MaxPerSecond) {
			t.Errorf("%q counts as %v requests a second", text, got.PerSecond)
		}
	})
}
