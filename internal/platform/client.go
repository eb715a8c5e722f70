// Package platform contains a client of the default platform protocol (setting
// platform.kind: own), and the Watcher, which keeps a feed of any platform up to date.
// The client of the alternative protocol is in the top-level package platform. The
// platform is the operators' service that publishes the rules file and the list of
// targets and instances, which lags behind their actual state. An instance only reads
// from it.
package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonwell/tarragonwell/internal/sockets"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

var _ tarragonwell.PlatformClient = (*Client)(nil)

const (
	rulesPath     = "/v1/rules"
	instancesPath = "/v1/instances"
	// rulesFileName is the file name in errors that concern the rules file.
	rulesFileName = "rules"
	// responseSlack is the time until a response begins in addition to the wait of a
	// watch, and the longest pause in it. The whole response has no time limit: large
	// rules take long over a slow link.
	responseSlack    = 2 * time.Second
	maxResponseBytes = 4 << 20
)

// ErrPlatform is wrapped by the errors of requests to the platform.
var ErrPlatform = eris.New("platform request failed")

// Client reads the platform's HTTP API. Address must be set.
type Client struct {
	// Address of the platform, as ip:port.
	Address string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Feeds implements tarragonwell.PlatformClient.
func (c *Client) Feeds() []tarragonwell.Feed {
	return []tarragonwell.Feed{
		&rulesFeed{
			client: c,
		},
		c.Instances(),
	}
}

// Instances returns the feed of the list of targets and instances; the protocol calls
// all of them instances.
func (c *Client) Instances() tarragonwell.Feed {
	return &listFeed{
		client: c,
	}
}

// ParseRules implements tarragonwell.PlatformClient.
func (c *Client) ParseRules(p *tarragonwell.PublishedRules) (*tarragonwell.RuleSet, error) {
	return rulesfile.Parse(rulesFileName, p.Revision, p.Content)
}

// Generation implements tarragonwell.PlatformClient. A rules file has none.
func (*Client) Generation([]byte) uint64 {
	return 0
}

// rulesFeed watches the rules file.
type rulesFeed struct {
	client *Client
}

// Name implements tarragonwell.Feed.
func (f *rulesFeed) Name() string {
	return "rules"
}

// MayRegress implements tarragonwell.Feed.
func (f *rulesFeed) MayRegress() bool {
	return true
}

// Watch implements tarragonwell.Feed.
func (f *rulesFeed) Watch(ctx context.Context, after tarragonwell.PlatformPosition, wait time.Duration) (tarragonwell.PlatformUpdate, error) {
	var m pb.PublishedRules
	changed, err := f.client.watch(ctx, rulesPath, after.Rules.Revision, wait, &m)
	if !changed {
		return tarragonwell.PlatformUpdate{}, err
	}
	return tarragonwell.PlatformUpdate{
		Rules: &tarragonwell.PublishedRules{
			Revision: m.GetRevision(),
			Content:  m.GetContent(),
		},
	}, nil
}

// listFeed watches the list of targets and instances.
type listFeed struct {
	client *Client
}

// Name implements tarragonwell.Feed.
func (f *listFeed) Name() string {
	return "instances"
}

// MayRegress implements tarragonwell.Feed.
func (f *listFeed) MayRegress() bool {
	return true
}

// Watch implements tarragonwell.Feed.
func (f *listFeed) Watch(ctx context.Context, after tarragonwell.PlatformPosition, wait time.Duration) (tarragonwell.PlatformUpdate, error) {
	var m pb.InstanceList
	changed, err := f.client.watch(ctx, instancesPath, after.List.Revision, wait, &m)
	if !changed {
		return tarragonwell.PlatformUpdate{}, err
	}
	return tarragonwell.PlatformUpdate{
		List: decodeList(&m),
	}, nil
}

// watch makes one long-poll request for changes after a revision and decodes the
// response into m. It reports whether there was a change.
func (c *Client) watch(ctx context.Context, path string, after uint64, wait time.Duration, m proto.Message) (bool, error) {
	client := sockets.ProgressClient{
		HTTP:         c.client(),
		HeadTimeout:  wait + responseSlack,
		StallTimeout: responseSlack,
	}
	url := fmt.Sprintf("http://%s%s?after=%d&wait=%s", c.Address, path, after, wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, eris.Wrap(ErrPlatform, err.Error())
	}
	response, err := client.Do(request)
	if err != nil {
		return false, eris.Wrap(ErrPlatform, err.Error())
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified, http.StatusNoContent:
		return false, nil
	case http.StatusOK:
	default:
		return false, eris.Wrap(ErrPlatform, response.Status)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return false, eris.Wrap(ErrPlatform, err.Error())
	}
	if err := protojson.Unmarshal(content, m); err != nil {
		return false, eris.Wrap(ErrPlatform, err.Error())
	}
	return true, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}
