Feature: A batch task never runs in two places at once
  A lease counts from its holder's request. A successor waits until every lease that
  may have been granted has certainly expired.

  Scenario: The agent is killed and restarted while its task runs
    Given 1 entry and 1 worker with 1 slot
    When task "t" of 1.5 s is submitted
    And task "t" runs
    And the agent of "w1" is killed
    And the agent of "w1" is started
    Then task "t" ends as "finished"
    And task "t" ran 1 times
    And no task ran in two places at once

  Scenario: The agent of the worker is frozen past the lease, then thawed
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 3.0 s is submitted
    And task "t" runs
    And the agent that runs task "t" is frozen
    And task "t" runs elsewhere
    And the frozen agent is thawed
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The worker is frozen with its agent, then thawed
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 3.0 s is submitted
    And task "t" runs
    And the worker and agent that run task "t" are frozen
    And task "t" runs elsewhere
    And the frozen worker and agent are thawed
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The entry that owns the task's partition is killed
    Given 2 entries and 2 workers with 1 slot
    When task "t" of 3.0 s is submitted
    And task "t" runs
    And the entry that owns task "t" is killed
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The owner is frozen, replaced, then thawed
    Given 2 entries and 2 workers with 1 slot
    When task "t" of 4.0 s is submitted
    And task "t" runs
    And the entry that owns task "t" is frozen
    And another entry owns task "t"
    And the frozen entry is thawed
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The owner is cut off from the store and still considers itself the owner
    Given 2 entries and 2 workers with 1 slot, with relays to the table
    When task "t" of 4.0 s is submitted
    And task "t" runs
    And the owner of task "t" is cut off from the table
    And another entry owns task "t"
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once
    When the cut entry reaches the table again
    And task "u" of 0.3 s is submitted
    Then task "u" is known after a retry with the same key
    And task "u" ends as "finished"

  Scenario: Two agents on one worker
    Given 1 entry and 1 worker with 1 slot
    When task "t" of 1.5 s is submitted
    And task "t" runs
    And a second agent is started on "w1"
    Then the first agent of "w1" ends
    And task "t" ends as "finished"
    And task "t" ran 1 times
    And no task ran in two places at once

  Scenario: The worker is lost permanently
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 2.0 s is submitted
    And task "t" runs
    And the worker and agent that run task "t" are killed
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: Two owners in a row are cut off from the store, and both still act as owner
    Given 2 entries and 2 workers with 1 slot, with relays to the table
    When task "t" of 6.0 s is submitted
    And task "t" runs
    And the owner of task "t" is cut off from the table
    And another entry owns task "t"
    And the owner of task "t" is cut off from the table
    And the cut entry reaches the table again
    And another entry owns task "t"
    And the cut entry reaches the table again
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The agent is frozen between the start request and its answer
    Given 1 entry and 2 workers with 1 slot
    When the runtime holds "start"
    And task "t" of 3.0 s is submitted
    And the runtime has received such a call
    And the waiting agent is frozen
    And the runtime executes the held calls
    And task "t" runs
    And task "t" runs elsewhere
    And the frozen agent is thawed
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: All agents are frozen as soon as a task is submitted
    Given 1 entry and 2 workers with 1 slot
    When task "t" of 1.0 s is submitted
    And the agents are frozen
    Then entry "e1" drops "w1" within 3 s
    And entry "e1" drops "w2" within 3 s
    When the frozen agents are thawed
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once

  Scenario: The owner is cut off from the store, and only it reaches the worker
    Given 2 entries and 2 workers with 1 slot, with relays to the table, each agent linked to one entry
    When task "t" of 9.0 s is submitted
    And task "t" runs
    And the owner of task "t" is cut off from the table
    And another entry owns task "t"
    Then task "t" ends as "finished"
    And task "t" was finished once
    And no task ran in two places at once
