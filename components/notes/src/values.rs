use crate::check::finding;
use crate::{Deployment, Finding, PlainService, Rule, Workspace};

/// Highest allowed value of a workspace's priority.
const MAX_PRIORITY: u8 = 9;

/// Checks the values of a workspace.
pub(crate) fn check_workspace(path: &str, workspace: &Workspace, findings: &mut Vec<Finding>) {
    let limits = &workspace.limits;
    let cost = &workspace.cost;
    let rates = [
        ("limits.requests_per_second", limits.requests_per_second),
        ("limits.prompt_tokens_per_second", limits.prompt_tokens_per_second),
    ];
    for (field, rate) in rates {
        if !(rate.is_finite() && rate > 0.0) {
            findings.push(finding(
                format!("{path}.{field}"),
                rate.to_string(),
                "a number above 0",
            ));
        }
    }
    if limits.open_streams == 0 {
        findings.push(finding(format!("{path}.limits.open_streams"), "0", "1 or more"));
    }
    let weights = [
        ("cost.first_token", cost.first_token),
        ("cost.recomputed", cost.recomputed),
        ("cost.link", cost.link),
    ];
    for (field, weight) in weights {
        if !(weight.is_finite() && weight >= 0.0) {
            findings.push(finding(
                format!("{path}.{field}"),
                weight.to_string(),
                "0 or a number above 0",
            ));
        }
    }
    if workspace.priority > MAX_PRIORITY {
        findings.push(finding(
            format!("{path}.priority"),
            workspace.priority.to_string(),
            "0 to 9",
        ));
    }
}

/// Checks the values of a deployment against those of its previous version.
pub(crate) fn check_deployment(
    path: &str,
    before: Option<&Deployment>,
    after: &Deployment,
    findings: &mut Vec<Finding>,
) {
    let floor = before.map_or(1, |before| before.weight_version.max(1));
    if after.weight_version < floor {
        let allowed = format!("{floor} or more; a weight version never goes down");
        findings.push(finding(
            format!("{path}.weight_version"),
            after.weight_version.to_string(),
            allowed,
        ));
    }
    if let Some(oldest) = after.oldest_weight_version
        && !(1..=after.weight_version).contains(&oldest)
    {
        let allowed = format!("1 to the weight version, {}", after.weight_version);
        findings.push(finding(
            format!("{path}.oldest_weight_version"),
            oldest.to_string(),
            allowed,
        ));
    }
    if after.max_tokens == 0 {
        findings.push(finding(format!("{path}.max_tokens"), "0", "1 or more"));
    }
    if after.first_token_deadline_ms == 0 {
        findings.push(finding(
            format!("{path}.first_token_deadline_ms"),
            "0",
            "1 or more",
        ));
    }
}

/// Checks the values of a service.
pub(crate) fn check_service(path: &str, service: &PlainService, findings: &mut Vec<Finding>) {
    if service.timeout_ms == 0 {
        findings.push(finding(format!("{path}.timeout_ms"), "0", "1 or more"));
    }
}

/// Checks the values of a rule.
pub(crate) fn check_rule(path: &str, rule: &Rule, findings: &mut Vec<Finding>) {
    if rule.regions.is_empty() && rule.failure_domains.is_empty() {
        let allowed = "at least one region or failure domain";
        findings.push(finding(path.to_owned(), "a rule that names no place", allowed));
    }
    for (i, domain) in rule.failure_domains.iter().enumerate() {
        let is_qualified = domain
            .split_once('/')
            .is_some_and(|(region, domain)| !region.is_empty() && !domain.is_empty());
        if !is_qualified {
            let field = format!("{path}.failure_domains.{i}");
            findings.push(finding(field, format!("`{domain}`"), "region/domain"));
        }
    }
}
