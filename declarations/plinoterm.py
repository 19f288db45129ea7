"""Declares the services of Plinoterm Najem d.o.o."""

from hawthornhill import Declaration, Service

DECLARATION = (
    Declaration("plinoterm")
    .service(Service("zaloga", priority=0, timeout_ms=1_000, hedge_percent=5))
    .service(Service("najem", priority=1, timeout_ms=5_000).never_repeat("*", "/rentals"))
    .service(Service("izpisek", priority=8, timeout_ms=30_000, probes_per_minute=6))
)

if __name__ == "__main__":
    print(DECLARATION.to_json(), end="")
