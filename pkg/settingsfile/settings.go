// Package settingsfile reads the settings of one instance from a YAML file.
package settingsfile

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/tarragonwell/tarragonwell/internal/yamldoc"
	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
)

// Settings holds a validated settings file with defaults applied.
type Settings struct {
	// Name identifies the instance in logs and in the audit trail.
	Name       string
	DataCenter string
	// Listen addresses have the form ip:port.
	CallerListenAddress string
	PeerListenAddress   string
	// PeerAddress is the address that other instances connect to. It defaults to
	// PeerListenAddress.
	PeerAddress           string
	OperatorListenAddress string
	// ReadinessListenAddress serves only the readiness check. If it is empty,
	// OperatorListenAddress serves that check.
	ReadinessListenAddress string
	PlatformAddress        string
	// PlatformProtocol is the protocol of the platform: PlatformOwn or
	// PlatformPrepared. The platform is the operators' service that publishes the
	// rules and the list of targets and instances.
	PlatformProtocol string
	// MinReadInterval is the shortest time between two reads of the platform.
	MinReadInterval time.Duration
	// MaxContactAge is the time since the fleet's last contact with the platform above
	// which an instance reads the platform itself.
	MaxContactAge time.Duration
	// WatchWait is the time that one watch request waits for a change.
	WatchWait time.Duration
	// BackoffLimit is the longest wait between attempts while the platform fails.
	BackoffLimit time.Duration
	// Readers is the number of instances of the fleet that watch the platform at
	// a time.
	Readers int
	// GossipInterval is the time between two gossip rounds.
	GossipInterval time.Duration
	// FanOut is the number of peers contacted in a gossip round.
	FanOut int
	// SampleSize is the number of member records in one gossip message.
	SampleSize int
	// Seeds are addresses of peers to contact at startup, in addition to the
	// platform's list.
	Seeds []string
	// BalancerWait is how long an instance that is shutting down continues to accept
	// calls, because the load balancer in front of the fleet notices its failing
	// readiness check with a delay. It is limited to about half of DrainLimit.
	BalancerWait time.Duration
	// DrainLimit is the longest wait for requests in flight at shutdown.
	DrainLimit time.Duration
	// MaxRequestBodyBytes bounds the body of one request.
	MaxRequestBodyBytes int64
	// MaxTotalRequestBytes bounds the total size of the bodies of all requests in
	// flight.
	MaxTotalRequestBytes int64
	// MaxResponseBufferBytes bounds each response that is buffered until complete.
	MaxResponseBufferBytes int64
	// MaxTotalResponseBytes bounds the total size of the responses that are buffered at a
	// time. Beyond it, responses are streamed.
	MaxTotalResponseBytes int64
	// MaxDescriptors bounds the open descriptors of the process; 0 stands for the limit of
	// the operating system.
	MaxDescriptors int
	// MaxTotalHeadBytes bounds the memory for the request heads that are being read or are
	// in flight.
	MaxTotalHeadBytes int64
	// MaxConnectionBytes bounds the memory for the open connections of callers.
	MaxConnectionBytes int64
	// MemoryBytes is the memory of the machine for this process; 0 for no bound.
	MemoryBytes int64
	// MaxTickets bounds the outstanding tickets of operations, used or not.
	MaxTickets int
	// MaxOperationBytes bounds the total size of the retained responses to operations.
	MaxOperationBytes int
	// AuditRecords is the minimum number of audit records that are kept.
	AuditRecords int
	// LogLevel is debug, info, warn or error.
	LogLevel string
	Budgets  Budgets
}

// Budgets holds the budgets of the fleet. Unless stated otherwise they apply only with
// PlatformPrepared, whose rules contain none.
type Budgets struct {
	// RetryRatio is the maximum ratio of retries to first attempts, from 0 to 1.
	RetryRatio float64
	// RetrySlack is the number of retries that the fleet may make over any period in
	// addition to RetryRatio: the size of a token bucket that RetryRatio refills.
	RetrySlack float64
	// ProbeBudget is in probes per target and second.
	ProbeBudget float64
	// PlacementProbes is the number of targets that are probed for their load
	// before a call is placed.
	PlacementProbes int
	// InstancesAtMost is the expected maximum number of instances, by which the
	// budgets are divided. It does not limit the size of the fleet.
	InstancesAtMost int
	// WarmUpOvershoot and WarmUpSlack bound the calls to a target that is warming up, also
	// with PlatformOwn: in any second at most Service.WarmUpRate times WarmUpOvershoot
	// plus WarmUpSlack, from all instances together. They are not bounded if both are 0.
	WarmUpOvershoot float64
	WarmUpSlack     float64
}

// Values of Settings.PlatformProtocol.
const (
	// PlatformOwn is tarragonwell's own protocol.
	PlatformOwn = "own"
	// PlatformPrepared is the protocol of the prepared platform, a key-value store. It is
	// implemented by the package platform at the root of the module.
	PlatformPrepared = "prepared"
)

const (
	defaultWatchWait              = time.Second
	defaultBackoffLimit           = 5 * time.Second
	defaultReaders                = 6
	defaultGossipInterval         = time.Second
	defaultFanOut                 = 2
	defaultSampleSize             = 8
	defaultBalancerWait           = 5 * time.Second
	defaultDrainLimit             = 10 * time.Minute
	defaultMaxRequestBodyBytes    = 1 << 20
	defaultMaxTotalRequestBytes   = 64 << 20
	defaultMaxResponseBufferBytes = 256 << 10
	defaultMaxTotalResponseBytes  = 16 << 20
	defaultMaxTotalHeadBytes      = 64 << 20
	defaultMaxConnectionBytes     = 256 << 20
	defaultMaxTickets             = 200_000
	defaultMaxOperationBytes      = 32 << 20
	defaultAuditRecords           = 4096
	defaultMaxContactAge          = 3 * time.Second
	defaultInstancesAtMost        = 16
)

const (
	// minTotalHeadBytes leaves room for a head of 16 KiB with 4,000 lines.
	minTotalHeadBytes = 4 << 20
	// minConnectionBytes leaves room for some tens of connections.
	minConnectionBytes = 1 << 20
	// minDescriptors leaves callers half of the descriptors beside those that are reserved
	// for targets, peers and files.
	minDescriptors = 128
	// megabyte is the smaller of the usual meanings, so that a bound is never exceeded.
	megabyte  = 1_000_000
	maxMemory = 1 << 50
)

// ErrInvalid is joined with the errors of an invalid file, each of which is a
// *yamldoc.FieldError.
var ErrInvalid = eris.New("invalid settings")

// Load reads and validates a file, with the overrides of Parse.
func Load(path string, overrides ...string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, content, overrides...)
}

// Parse validates the content of a file. The name appears in errors. Each override, in the
// form KEY=VALUE with a key such as limits.request-body-bytes, replaces a setting of the file;
// without a value it has no effect. Parse fails with ErrInvalid.
func Parse(name string, content []byte, overrides ...string) (*Settings, error) {
	var message pb.Settings
	var d yamldoc.Decoder
	errs := withFile(name, d.Decode(content, &message))
	for _, o := range overrides {
		errs = append(errs, override(&message, o)...)
	}
	if len(errs) == 0 {
		c := &yamldoc.Checker{
			Decoder: &d,
		}
		s := convert(&message, c)
		errs = withFile(name, c.Errs)
		if len(errs) == 0 {
			return s, nil
		}
	}
	joined := []error{ErrInvalid}
	for _, e := range errs {
		joined = append(joined, e)
	}
	return nil, errors.Join(joined...)
}

// withFile sets the name of the file in errors.
func withFile(name string, errs []*yamldoc.FieldError) []*yamldoc.FieldError {
	for _, e := range errs {
		e.File = name
	}
	return errs
}

// override applies one override, KEY=VALUE, to a message.
func override(m *pb.Settings, text string) []*yamldoc.FieldError {
	key, value, found := strings.Cut(text, "=")
	if !found || key == "" {
		return []*yamldoc.FieldError{{
			File:    "override " + strconv.Quote(text),
			Message: "want KEY=VALUE",
		}}
	}
	if value == "" {
		return nil
	}
	if strings.ContainsAny(value, "{}\n") {
		return []*yamldoc.FieldError{{
			File:    "override " + strconv.Quote(text),
			Message: "want the value of a single setting",
		}}
	}
	keys := strings.Split(key, ".")
	document := "{" + strings.Join(keys, ": {") + ": " + value + strings.Repeat("}", len(keys))
	var part pb.Settings
	var d yamldoc.Decoder
	if errs := d.Decode([]byte(document), &part); len(errs) > 0 {
		return withFile("override "+strconv.Quote(text), errs)
	}
	copyField(m.ProtoReflect(), part.ProtoReflect(), keys)
	return nil
}

// copyField sets the field of a message at a path of keys to that of another message.
func copyField(to, from protoreflect.Message, keys []string) {
	field := to.Descriptor().Fields().ByJSONName(keys[0])
	switch {
	case len(keys) > 1:
		copyField(to.Mutable(field).Message(), from.Get(field).Message(), keys[1:])
	case from.Has(field):
		to.Set(field, from.Get(field))
	default:
		to.Clear(field)
	}
}

func convert(m *pb.Settings, c *yamldoc.Checker) *Settings {
	s := &Settings{
		Name:                   m.GetInstance().GetName(),
		DataCenter:             m.GetInstance().GetDataCenter(),
		CallerListenAddress:    m.GetListen().GetCallers(),
		PeerListenAddress:      m.GetListen().GetPeers(),
		PeerAddress:            orDefault(m.GetListen().GetPeersAdvertised(), m.GetListen().GetPeers()),
		OperatorListenAddress:  m.GetListen().GetOperators(),
		PlatformAddress:        m.GetPlatform().GetAddress(),
		WatchWait:              c.Duration("platform.watch-wait", m.GetPlatform().GetWatchWait(), defaultWatchWait),
		BackoffLimit:           c.Duration("platform.backoff-limit", m.GetPlatform().GetBackoffLimit(), defaultBackoffLimit),
		Readers:                orDefault(int(m.GetPlatform().GetReaders()), defaultReaders),
		GossipInterval:         c.Duration("peers.interval", m.GetPeers().GetInterval(), defaultGossipInterval),
		FanOut:                 orDefault(int(m.GetPeers().GetFanOut()), defaultFanOut),
		SampleSize:             orDefault(int(m.GetPeers().GetSample()), defaultSampleSize),
		Seeds:                  m.GetPeers().GetSeeds(),
		BalancerWait:           c.Duration("shutdown.balancer-wait", m.GetShutdown().GetBalancerWait(), defaultBalancerWait),
		DrainLimit:             c.Duration("shutdown.drain-limit", m.GetShutdown().GetDrainLimit(), defaultDrainLimit),
		MaxRequestBodyBytes:    orDefault(int64(m.GetLimits().GetRequestBodyBytes()), defaultMaxRequestBodyBytes),
		MaxTotalRequestBytes:   orDefault(int64(m.GetLimits().GetHeldRequestBytes()), defaultMaxTotalRequestBytes),
		MaxTotalResponseBytes:  orDefault(int64(m.GetLimits().GetHeldAnswerTotalBytes()), defaultMaxTotalResponseBytes),
		MaxResponseBufferBytes: orDefault(int64(m.GetLimits().GetHeldAnswerBytes()), defaultMaxResponseBufferBytes),
		MaxDescriptors:         int(m.GetLimits().GetDescriptors()),
		MaxTotalHeadBytes:      orDefault(int64(m.GetLimits().GetHeldHeadBytes()), defaultMaxTotalHeadBytes),
		MaxConnectionBytes:     orDefault(int64(m.GetLimits().GetHeldConnectionBytes()), defaultMaxConnectionBytes),
		MemoryBytes:            memoryBytes(m.GetLimits(), c),
		MaxTickets:             orDefault(int(m.GetLimits().GetOperations()), defaultMaxTickets),
		MaxOperationBytes:      orDefault(int(m.GetLimits().GetOperationBytes()), defaultMaxOperationBytes),
		AuditRecords:           orDefault(int(m.GetLimits().GetAuditRecords()), defaultAuditRecords),
		LogLevel:               orDefault(m.GetLog().GetLevel(), "info"),
		ReadinessListenAddress: m.GetListen().GetReadiness(),
		PlatformProtocol:       orDefault(m.GetPlatform().GetKind(), PlatformOwn),
		MinReadInterval:        c.Duration("platform.pace", m.GetPlatform().GetPace(), 0),
		MaxContactAge:          c.Duration("platform.contact-limit", m.GetPlatform().GetContactLimit(), defaultMaxContactAge),
		Budgets: Budgets{
			RetryRatio:      m.GetBudgets().GetRetryRatio(),
			RetrySlack:      m.GetBudgets().GetRetrySlack(),
			ProbeBudget:     m.GetBudgets().GetProbes(),
			PlacementProbes: int(m.GetBudgets().GetSurvey()),
			InstancesAtMost: orDefault(int(m.GetBudgets().GetInstancesAtMost()), defaultInstancesAtMost),
			WarmUpOvershoot: m.GetBudgets().GetWarmUpOvershoot(),
			WarmUpSlack:     m.GetBudgets().GetWarmUpSlack(),
		},
	}
	validate(s, c)
	return s
}

// memoryBytes returns the memory of the machine in whichever unit it is set.
func memoryBytes(m *pb.LimitSettings, c *yamldoc.Checker) int64 {
	field, n := "limits.memory-bytes", m.GetMemoryBytes()
	if m.GetMemoryMegabytes() > 0 {
		if n > 0 {
			c.Fail("limits.memory-megabytes", "limits.memory-bytes is set too")
			return 0
		}
		field, n = "limits.memory-megabytes", uint64(m.GetMemoryMegabytes())*megabyte
	}
	if n > 0 && (n < admission.MinMemory || n > maxMemory) {
		c.Fail(field, fmt.Sprintf("want 0 for no bound, or %d to %d bytes", admission.MinMemory, int64(maxMemory)))
		return 0
	}
	return int64(n)
}

// MemoryPlan returns the division of MemoryBytes. The responses to operations that are
// retained have a bound of their own.
func (s *Settings) MemoryPlan() admission.MemoryPlan {
	var reserved int64
	if s.PlatformProtocol != PlatformPrepared {
		reserved = int64(s.MaxOperationBytes)
	}
	return admission.PlanMemory(s.MemoryBytes, reserved)
}

func validate(s *Settings, c *yamldoc.Checker) {
	c.Name("instance.name", s.Name)
	c.Name("instance.data-center", s.DataCenter)
	c.Address("listen.callers", s.CallerListenAddress)
	c.Address("listen.peers", s.PeerListenAddress)
	c.Address("listen.operators", s.OperatorListenAddress)
	if s.PeerAddress != s.PeerListenAddress {
		c.Address("listen.peers-advertised", s.PeerAddress)
	}
	c.Address("platform.address", s.PlatformAddress)
	for _, seed := range s.Seeds {
		c.Address("peers.seeds", seed)
	}
	if s.CallerListenAddress != "" && (s.CallerListenAddress == s.PeerListenAddress || s.CallerListenAddress == s.OperatorListenAddress) {
		c.Fail("listen.callers", "duplicates another listen address")
	}
	if s.PeerListenAddress != "" && s.PeerListenAddress == s.OperatorListenAddress {
		c.Fail("listen.peers", "duplicates another listen address")
	}
	if s.ReadinessListenAddress != "" {
		c.Address("listen.readiness", s.ReadinessListenAddress)
	}
	c.OneOf("platform.kind", s.PlatformProtocol, PlatformOwn, PlatformPrepared)
	c.Fraction("budgets.retry-ratio", s.Budgets.RetryRatio)
	if s.Budgets.RetrySlack < 0 || s.Budgets.ProbeBudget < 0 {
		c.Fail("budgets", "a budget is negative")
	}
	c.NotNegative("budgets.warm-up-overshoot", s.Budgets.WarmUpOvershoot)
	c.NotNegative("budgets.warm-up-slack", s.Budgets.WarmUpSlack)
	if s.MaxRequestBodyBytes < 0 || s.MaxResponseBufferBytes < 0 || s.MaxTotalResponseBytes < 0 {
		c.Fail("limits", "a size is out of range")
	}
	if s.MaxTotalHeadBytes < minTotalHeadBytes {
		c.Fail("limits.held-head-bytes", fmt.Sprintf("want %d or more", minTotalHeadBytes))
	}
	if s.MaxConnectionBytes < minConnectionBytes {
		c.Fail("limits.held-connection-bytes", fmt.Sprintf("want %d or more", minConnectionBytes))
	}
	if s.MaxDescriptors != 0 && s.MaxDescriptors < minDescriptors {
		c.Fail("limits.descriptors", fmt.Sprintf("want %d or more", minDescriptors))
	}
	if s.MemoryBytes > 0 && s.MemoryPlan().Requests < s.MaxRequestBodyBytes {
		c.Fail("limits", fmt.Sprintf("a body of request-body-bytes (%d) does not fit into the memory, which leaves %d for bodies", s.MaxRequestBodyBytes, s.MemoryPlan().Requests))
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
