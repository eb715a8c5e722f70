package operator

import (
	"net/http"

	"github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1/tarragonwellv1connect"
)

// NewClient returns a client for the instance whose operator interface listens on
// address.
func NewClient(address string) tarragonwellv1connect.OperatorServiceClient {
	return tarragonwellv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address)
}
