//! The services of Gravurgenossenschaft Flakonwerk Oberland eG.

use hawthornhill_operator::{Declaration, ServiceDeclaration};
use types::{DocumentError, TeamDocument};

/// Returns the team's document.
pub fn declare() -> Result<TeamDocument, DocumentError> {
    Declaration::new("flakonwerk")
        .service(ServiceDeclaration::new("proofdesk", 0).timeout_ms(1_000).hedge_percent(5))
        .service(
            ServiceDeclaration::new("gravurauftrag", 1)
                .timeout_ms(5_000)
                .never_repeat("POST", "/jobs")
                .never_repeat("POST", "/debits"),
        )
        .service(ServiceDeclaration::new("archivbuch", 8).timeout_ms(10_000).retry_percent(2))
        .build()
}

#[allow(dead_code)]
fn main() -> Result<(), DocumentError> {
    print!("{}", declare()?.to_json());
    Ok(())
}
