//! How what an organisation may use is divided among the classes of its requests.

use super::class;

/// The share of what may be admitted at a time that each class gets at least, so that none is excluded for long. Each is to
/// get a twentieth of what is admitted; with exactly that it got 3.9%, as the shares of others lag behind their load.
const MIN_CLASS_RATIO: f64 = 0.07;

/// Amounts by class, such as the cost offered per second.
pub type ByClass = [f64; class::COUNT];

/// Returns the share of each class's requests to admit, if `allowed` may be admitted of what is `offered`. Each class
/// first gets a small part; the rest goes to the classes in their order. A class of which nothing is offered may be
/// admitted whole, unless others use up what is allowed: it then has the share of the class that is admitted last.
#[must_use]
pub fn divide(allowed: f64, offered: &ByClass) -> ByClass {
    let total: f64 = offered.iter().sum();
    if allowed >= total {
        return [1.0; class::COUNT];
    }
    let allowed = allowed.max(0.0);
    let mut parts = offered.map(|offered| offered.min(allowed * MIN_CLASS_RATIO));
    let mut left = allowed - parts.iter().sum::<f64>();
    for (part, offered) in parts.iter_mut().zip(offered) {
        let more = (offered - *part).min(left);
        *part += more;
        left -= more;
    }
    let mut shares = [1.0; class::COUNT];
    let mut last = 1.0;
    for ((share, part), offered) in shares.iter_mut().zip(parts).zip(offered) {
        if *offered > 0.0 {
            last = part / offered;
        }
        *share = last;
    }
    shares
}
