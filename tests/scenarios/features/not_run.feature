Feature: The outcome "not_run" means that the request did not run
  A caller may safely repeat a request with the outcome "not_run". So this outcome is
  used only if no runner can have received the request.

  Scenario: The deadline passes while the request waits for a slot
    Given 1 entry and 1 worker with 1 slot
    When "slow" is sent as POST "/orders/a?work_s=1.0" in the background
    And the runners have started "slow"
    And "late" is sent as POST "/orders/b" with a deadline of 150 ms
    Then "late" ends with outcome "not_run"
    And "late" has a Retry-After header
    And the runners never saw "late"
    And "slow" ends with status 200

  Scenario: The deadline passes while a runner is at work
    Given 1 entry and 1 worker with 1 slot
    When "begun" is sent as POST "/orders/a?work_s=1.0" with a deadline of 300 ms
    Then "begun" ends with outcome "unknown"
    And the runners ran "begun" once

  Scenario: The agent is killed between dispatch and answer
    Given 1 entry and 1 worker with 2 slots
    When "cut" is sent as POST "/orders/a?work_s=1.0" in the background
    And the runners have started "cut"
    And the agent of "w1" is killed
    Then "cut" ends with outcome "unknown"
    And the runners ran "cut" once

  Scenario: A safe read is repeated on another worker
    Given 1 entry and 2 workers with 2 slots
    When "cut" is sent as GET "/orders/a?work_s=1.0" in the background
    And the runners have started "cut"
    And the agent that serves "cut" is killed
    Then "cut" ends with status 200

  Scenario: The store's answer to an admission is lost
    Given 1 entry and 1 worker with 1 slot
    When the table loses the answers of the next 1 commits on journals
    And task "t" of 0.3 s is submitted
    Then task "t" is known after a retry with the same key
    And task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The store is down when a task comes in
    Given 1 entry and 1 worker with 1 slot
    When the table is down
    And task "t" of 0.3 s is submitted
    Then the submission of "t" was refused as "not_run" with a Retry-After time
    When the table is up
    Then task "t" is known after a retry with the same key
    And task "t" ends as "finished"
    And task "t" was finished once

  Scenario: A task is cancelled while it starts
    Given 1 entry and 1 worker with 1 slot
    When 12 tasks "c" of 0.2 s are submitted and each is cancelled at once
    Then every task ends as its worker's record says
    And no task ran in two places at once

  Scenario: The answer is lost on a silent link
    Given 1 entry and 1 worker with 2 slots, with relays to the entries
    When "cut" is sent as POST "/orders/a?work_s=1.0" in the background
    And the runners have started "cut"
    And the existing links go silent
    Then "cut" ends with outcome "unknown"
    And the runners ran "cut" once

  Scenario: The answer to a read is lost on a silent link, and another worker answers
    Given 1 entry and 2 workers with 2 slots, with relays to the entries
    When the agent of "w2" is killed
    And "cut" is sent as GET "/orders/a?work_s=5.0" with a deadline of 15000 ms in the background
    And the runners have started "cut"
    And the agent of "w2" is started
    And entry "e1" sees 2 workers
    And the oldest link to "e1" goes silent
    Then "cut" ends with status 200
    And the runners of "w1" ran "cut" 1 times
    And the runners of "w2" ran "cut" 1 times
