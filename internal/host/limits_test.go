package host

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/settings"
)

// Guards against: as many callers as may wait and run by the settings meet the limit of connections.
func TestIngressLimitsAdmitAllCallersThatMayWait(t *testing.T) {
	s, err := settings.Parse("f", []byte("name = \"h\"\nzone = \"z\"\nstore = \"127.0.0.1:1\"\nhostList = \"127.0.0.1:1\"\nqueueLimit = 100\ncapacity = 50"))
	if err != nil {
		t.Fatal(err)
	}
	if have := ingressLimits(s).MaxConnections; have < 150 {
		t.Errorf("MaxConnections: have %d, want at least 150", have)
	}
}

// Guards against: a refusal of an unread body does not say that the work is not run, or when to return.
func TestRefuse(t *testing.T) {
	full := errkind.Unavailable.New("retry", "no memory")
	for _, c := range []struct {
		path   string
		err    error
		status int
		want   string
	}{
		{workPath, full, 503, "WORK_STATE_NOT_RUN"},
		{"/v1/tickets", full, 503, "unavailable"},
		{workPath, errors.Join(&http.MaxBytesError{Limit: 5}), 400, "limit of 5 bytes"},
	} {
		recorder := httptest.NewRecorder()
		refuse(recorder, httptest.NewRequest(http.MethodPost, c.path, nil), c.err)
		if recorder.Code != c.status || !strings.Contains(recorder.Body.String(), c.want) || (c.status == 503) != (recorder.Header().Get("Retry-After") == "1") {
			t.Errorf("%s, %v: have %d %s, want %d and %q", c.path, c.err, recorder.Code, recorder.Body, c.status, c.want)
		}
	}
}
