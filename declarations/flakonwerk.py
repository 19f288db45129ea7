"""Declares the services of Gravurgenossenschaft Flakonwerk Oberland eG."""

from hawthornhill import Declaration, Service

DECLARATION = (
    Declaration("flakonwerk")
    .service(Service("proofdesk", priority=0, timeout_ms=1_000, hedge_percent=5))
    .service(
        Service("gravurauftrag", priority=1, timeout_ms=5_000)
        .never_repeat("POST", "/jobs")
        .never_repeat("POST", "/debits")
    )
    .service(Service("archivbuch", priority=8, timeout_ms=10_000, retry_percent=2))
)

if __name__ == "__main__":
    print(DECLARATION.to_json(), end="")
