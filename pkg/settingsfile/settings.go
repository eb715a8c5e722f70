// Package settingsfile reads the settings of one instance from YAML.
package settingsfile

import (
	"errors"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/yamldoc"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
)

// Settings is a checked settings file with its defaults filled in.
type Settings struct {
	Name                string
	DataCenter          string
	CallerListenAddress string
	PeerListenAddress   string
	// PeerAddress is what other instances use; it is Peers unless set.
	PeerAddress           string
	OperatorListenAddress string
	// ReadinessListenAddress is empty where operators' address answers for it.
	ReadinessListenAddress string
	PlatformAddress        string
	// PlatformKind is PlatformOwn or PlatformPrepared.
	PlatformKind string
	// MinReadInterval is the shortest time between two reads.
	MinReadInterval  time.Duration
	MaxPlatformAge   time.Duration
	WatchWait        time.Duration
	BackoffLimit     time.Duration
	Readers          int
	ExchangeInterval time.Duration
	FanOut           int
	SampleSize       int
	Seeds            []string
	BalancerWait     time.Duration
	DrainLimit       time.Duration
	// MaxRequestBodyBytes bounds a request's body.
	MaxRequestBodyBytes int64
	// MaxBufferedRequestBytes bounds the bodies of all requests in hand.
	MaxBufferedRequestBytes int64
	// MaxBufferedAnswerBytes bounds an answer that is held until complete.
	MaxBufferedAnswerBytes int64
	MaxOperations          int
	MaxOperationBytes      int
	AuditRecords           int
	LogLevel               string
	Budgets                Budgets
}

// Budgets are the fleet's, for platforms whose rules name none.
type Budgets struct {
	// RetryRatio is between 0 and 1.
	RetryRatio float64
	RetrySlack float64
	// ProbeBudget is in probes of a target in a second.
	ProbeBudget     float64
	PlacementProbes int
	InstancesAtMost int
}

// Kinds of platforms.
const (
	PlatformOwn      = "own"
	PlatformPrepared = "prepared"
)

const (
	defaultWatchWait        = time.Second
	defaultBackoffLimit     = 5 * time.Second
	defaultReaders          = 6
	defaultExchangeInterval = time.Second
	defaultFanOut           = 2
	defaultSample           = 8
	defaultBalancerWait     = 5 * time.Second
	defaultDrainLimit       = 10 * time.Minute
	defaultRequestBodyBytes = 1 << 20
	defaultHeldRequestBytes = 64 << 20
	defaultHeldAnswerBytes  = 256 << 10
	defaultOperations       = 200_000
	defaultOperationBytes   = 32 << 20
	defaultAuditRecords     = 4096
	defaultContactLimit     = 3 * time.Second
	defaultInstancesAtMost  = 16
)

// ErrInvalid is the root of the errors of a settings file; each fault within is
// a *yamldoc.FieldError.
var ErrInvalid = eris.New("the settings are not valid")

// Load reads and checks a file.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, content)
}

// Parse checks the content of a file; the name is used in errors.
func Parse(name string, content []byte) (*Settings, error) {
	var message pb.Settings
	var d yamldoc.Decoder
	errs := d.Decode(content, &message)
	if len(errs) == 0 {
		c := &yamldoc.Checker{
			Decoder: &d,
		}
		s := convert(&message, c)
		errs = c.Errs
		if len(errs) == 0 {
			return s, nil
		}
	}
	all := []error{ErrInvalid}
	for _, e := range errs {
		e.File = name
		all = append(all, e)
	}
	return nil, errors.Join(all...)
}

func convert(m *pb.Settings, c *yamldoc.Checker) *Settings {
	s := &Settings{
		Name:                    m.GetInstance().GetName(),
		DataCenter:              m.GetInstance().GetDataCenter(),
		CallerListenAddress:     m.GetListen().GetCallers(),
		PeerListenAddress:       m.GetListen().GetPeers(),
		PeerAddress:             orDefault(m.GetListen().GetPeersAdvertised(), m.GetListen().GetPeers()),
		OperatorListenAddress:   m.GetListen().GetOperators(),
		PlatformAddress:         m.GetPlatform().GetAddress(),
		WatchWait:               c.Duration("platform.watch-wait", m.GetPlatform().GetWatchWait(), defaultWatchWait),
		BackoffLimit:            c.Duration("platform.backoff-limit", m.GetPlatform().GetBackoffLimit(), defaultBackoffLimit),
		Readers:                 orDefault(int(m.GetPlatform().GetReaders()), defaultReaders),
		ExchangeInterval:        c.Duration("peers.interval", m.GetPeers().GetInterval(), defaultExchangeInterval),
		FanOut:                  orDefault(int(m.GetPeers().GetFanOut()), defaultFanOut),
		SampleSize:              orDefault(int(m.GetPeers().GetSample()), defaultSample),
		Seeds:                   m.GetPeers().GetSeeds(),
		BalancerWait:            c.Duration("shutdown.balancer-wait", m.GetShutdown().GetBalancerWait(), defaultBalancerWait),
		DrainLimit:              c.Duration("shutdown.drain-limit", m.GetShutdown().GetDrainLimit(), defaultDrainLimit),
		MaxRequestBodyBytes:     orDefault(int64(m.GetLimits().GetRequestBodyBytes()), defaultRequestBodyBytes),
		MaxBufferedRequestBytes: orDefault(int64(m.GetLimits().GetHeldRequestBytes()), defaultHeldRequestBytes),
		MaxBufferedAnswerBytes:  orDefault(int64(m.GetLimits().GetHeldAnswerBytes()), defaultHeldAnswerBytes),
		MaxOperations:           orDefault(int(m.GetLimits().GetOperations()), defaultOperations),
		MaxOperationBytes:       orDefault(int(m.GetLimits().GetOperationBytes()), defaultOperationBytes),
		AuditRecords:            orDefault(int(m.GetLimits().GetAuditRecords()), defaultAuditRecords),
		LogLevel:                orDefault(m.GetLog().GetLevel(), "info"),
		ReadinessListenAddress:  m.GetListen().GetReadiness(),
		PlatformKind:            orDefault(m.GetPlatform().GetKind(), PlatformOwn),
		MinReadInterval:         c.Duration("platform.pace", m.GetPlatform().GetPace(), 0),
		MaxPlatformAge:          c.Duration("platform.contact-limit", m.GetPlatform().GetContactLimit(), defaultContactLimit),
		Budgets: Budgets{
			RetryRatio:      m.GetBudgets().GetRetryRatio(),
			RetrySlack:      m.GetBudgets().GetRetrySlack(),
			ProbeBudget:     m.GetBudgets().GetProbes(),
			PlacementProbes: int(m.GetBudgets().GetSurvey()),
			InstancesAtMost: orDefault(int(m.GetBudgets().GetInstancesAtMost()), defaultInstancesAtMost),
		},
	}
	check(s, c)
	return s
}

func check(s *Settings, c *yamldoc.Checker) {
	c.Name("instance.name", s.Name)
	c.Name("instance.data-center", s.DataCenter)
	c.Address("listen.callers", s.CallerListenAddress)
	c.Address("listen.peers", s.PeerListenAddress)
	c.Address("listen.operators", s.OperatorListenAddress)
	if s.PeerAddress != s.PeerListenAddress {
		c.Address("listen.peers-advertised", s.PeerAddress)
	}
	c.Address("platform.address", s.PlatformAddress)
	for _, a := range s.Seeds {
		c.Address("peers.seeds", a)
	}
	if s.CallerListenAddress != "" && (s.CallerListenAddress == s.PeerListenAddress || s.CallerListenAddress == s.OperatorListenAddress) {
		c.Fail("listen.callers", "is used twice")
	}
	if s.PeerListenAddress != "" && s.PeerListenAddress == s.OperatorListenAddress {
		c.Fail("listen.peers", "is used twice")
	}
	if s.ReadinessListenAddress != "" {
		c.Address("listen.readiness", s.ReadinessListenAddress)
	}
	c.OneOf("platform.kind", s.PlatformKind, PlatformOwn, PlatformPrepared)
	c.Fraction("budgets.retry-ratio", s.Budgets.RetryRatio)
	if s.Budgets.RetrySlack < 0 || s.Budgets.ProbeBudget < 0 {
		c.Fail("budgets", "a budget is below 0")
	}
	if s.MaxRequestBodyBytes < 0 || s.MaxBufferedAnswerBytes < 0 {
		c.Fail("limits", "a size is out of range")
	}
	c.OneOf("log.level", s.LogLevel, "debug", "info", "warn", "error")
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
