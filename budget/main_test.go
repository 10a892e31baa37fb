package budget_test

import (
	"io"
	"testing"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}
