"""News of replicas that VMs tell one another."""
