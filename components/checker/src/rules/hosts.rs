use crate::{CallerRequest, Drain, Exchange, Promise, Report, RunRecord, Violation};

/// Checks that no graceful shutdown interrupted a request.
pub(crate) fn check(record: &RunRecord, report: &mut Report) {
    for drain in &record.drains {
        for req in &record.requests {
            let open = req.exchanges.iter().filter(|exchange| was_open(exchange, drain));
            for exchange in open {
                report.record(Promise::GracefulShutdown, check_finished(req, exchange, drain));
            }
        }
    }
}

/// Returns whether the exchange was open when the host's shutdown began, or was accepted during the shutdown.
fn was_open(exchange: &Exchange, drain: &Drain) -> bool {
    let sent_before = exchange.sent_at <= drain.began;
    let accepted = exchange.head_at.is_some_and(|at| at <= drain.ended);
    exchange.host == drain.host && exchange.ended_at >= drain.began && (sent_before || accepted)
}

fn check_finished(req: &CallerRequest, exchange: &Exchange, drain: &Drain) -> Result<(), Violation> {
    if exchange.ended_well {
        return Ok(());
    }
    Err(Violation::CutOff {
        host: drain.host.clone(),
        number: req.number,
    })
}
