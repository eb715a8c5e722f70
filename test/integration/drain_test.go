package integration

import (
	"net/http"
	"strings"
	"testing"
)

// TestDataCenterDrainByRules guards against a line of the rules file that is accepted but
// drains nothing, against calls that are not answered while all targets are drained, and
// against a drain that operators do not see.
func TestDataCenterDrainByRules(t *testing.T) {
	f := startFleet(t, 41, 2)
	i := f.Instances[0]
	line := func(name string) string {
		return "- data-center: { name: " + name + ", drain: true }  # Mere, network team\n"
	}
	status := func() int {
		response, _ := send(t, http.MethodGet, "http://"+i.CallerAddress()+"/loads/7", nil, nil)
		return response.StatusCode
	}
	f.Platform.Publish([]byte(trustRules(t) + line("dc-1") + line("dc-2") + line("dc-3")))
	eventually(t, "calls are rejected", func() bool { return status() == http.StatusServiceUnavailable })
	response, body := send(t, http.MethodGet, "http://"+i.CallerAddress()+"/loads/7", nil, nil)
	if got := response.Header.Get("Retry-After"); got == "" || !strings.Contains(body, "drained") {
		t.Errorf("got Retry-After %q and %q, want both a time and the reason", got, body)
	}
	for _, x := range []struct {
		name string
		text string
		want string
	}{
		{
			name: "status",
			want: ", asked for by: Mere, network team, ",
		},
		{
			name: "explain",
			want: "data centre dc-1 is drained: line ",
		},
		{
			name: "audit",
			want: `"event":"drain-began"`,
		},
		{
			name: "page",
			want: "Data centre dc-2 is drained",
		},
		{
			name: "metrics",
			want: "tarragonwell_drained_targets 7\n",
		},
	} {
		var text string
		switch x.name {
		case "explain":
			_, text, _ = runCommand("explain", "--from", i.OperatorAddress(), "GET", "/loads/7")
		case "page":
			_, text = send(t, http.MethodGet, "http://"+i.OperatorAddress()+"/", nil, nil)
		case "metrics":
			_, text = send(t, http.MethodGet, "http://"+i.OperatorAddress()+"/metrics", nil, nil)
		default:
			_, text, _ = runCommand(x.name, "--from", i.OperatorAddress())
		}
		if !strings.Contains(text, x.want) {
			t.Errorf("%s: got %q, want %q in it", x.name, text, x.want)
		}
	}
	f.Platform.Publish([]byte(trustRules(t) + line("dc-1")))
	eventually(t, "calls are served", func() bool { return status() == http.StatusOK })
}
