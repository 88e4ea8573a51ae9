"""The edge daemon: an HTTP gateway on each VM between callers and replicas."""
